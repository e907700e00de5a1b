#include "FakeLog.h"
#include "Samples.h"
#include "carobpath/publication/Publisher.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::publication {

using namespace samples;
using namespace std::chrono_literals;
using LogFault = FakeLog::Fault;

namespace {

    constexpr std::array<const char*, 8> resultTexts { "published", "published-before", "rejected", "check-failed", "wrong-key", "no-checkpoint", "not-published", "unknown" };

    /// A log with the service booking of member petra, and operators that publish to it in virtual time.
    struct Fixture {
        FakeLog log;
        MonotonicTime now;

        Fixture()
        {
            log.take(encodeRecord(publishRecord(1, 0, bookingChanges())));
            log.take(encodeRecord(publishRecord(2, 1, { PutVersion { version("booking-2", "booking") } })));
        }

        PublishResult run(Publisher& publisher)
        {
            auto command = publisher.start(now);
            for (int steps = 0; steps < 10000; ++steps) {
                if (const auto* finish = std::get_if<Finish>(&command))
                    return finish->result;
                command = carryOut(publisher, command);
            }
            BOOST_FAIL("the publisher does not end");
            return NotPublished {};
        }

        PublishCommand carryOut(Publisher& publisher, const PublishCommand& command)
        {
            if (const auto* wait = std::get_if<WaitFor>(&command)) {
                now += wait->delay;
                return publisher.onTimer(now);
            }
            now += 1ms;
            if (const auto* read = std::get_if<ReadLog>(&command))
                return publisher.onRead(log.read(read->from, read->limit), now);
            return publisher.onAppend(log.append(std::get<AppendRecord>(command).bytes), now);
        }

        PublishResult publish(std::vector<Change> changes, std::uint64_t sequence = 7, const KeyPair& key = petraKey())
        {
            Publisher publisher { { recordId(sequence), petra, std::move(changes) }, key, trustedKeys(), {}, std::mt19937_64 { 11 } };
            return run(publisher);
        }

        /// \returns how often the record with the sequence took effect for a reader of the full log.
        int timesApplied(std::uint64_t sequence)
        {
            log.readFaults.clear();
            ConfigurationLogFollower reader { trustedKeys() };
            const auto applied = reader.onBatch(std::get<LogBatch>(log.read(0, log.records.size())));
            return static_cast<int>(std::count_if(applied.begin(), applied.end(), [&](const AppliedRecord& it) {
                const auto* accepted = std::get_if<Accepted>(&it.outcome);
                return accepted && accepted->id == recordId(sequence);
            }));
        }
    };

    std::vector<Change> newRoute(const std::string& prefix = "/new")
    {
        return { PutRoute { route("new", "booking", prefix) } };
    }

    std::string textOf(const PublishResult& result) { return resultTexts.at(result.index()); }

}

BOOST_AUTO_TEST_SUITE(Publishing)

BOOST_AUTO_TEST_CASE(Each_fault_of_the_log_gives_a_typed_result_and_no_record_takes_effect_twice)
{
    const std::deque<LogFault> always(1000, LogFault::Down);
    struct Row {
        const char* name;
        std::deque<LogFault> appendFaults;
        std::deque<LogFault> readFaults;
        std::string result;
        int timesApplied;
    };
    const std::vector<Row> rows {
        { "no fault", {}, {}, "published", 1 },
        { "log down for a while", { LogFault::Down, LogFault::Down, LogFault::Down }, {}, "published", 1 },
        { "log down for good", always, {}, "not-published", 0 },
        { "reads fail for good", {}, always, "not-published", 0 },
        { "reads slow", {}, { LogFault::Down, LogFault::Down }, "published", 1 },
        { "answer lost after the write", { LogFault::AnswerLost }, {}, "published", 1 },
        { "answer lost, then down", { LogFault::AnswerLost, LogFault::Down }, {}, "published", 1 },
        { "request lost", { LogFault::RequestLost, LogFault::RequestLost }, {}, "published", 1 },
        { "first append lands after the second", { LogFault::Delayed }, {}, "published", 1 },
        { "answer lost and reads fail", { LogFault::AnswerLost }, { LogFault::None }, "published", 1 },
        { "a record missing in an answer", {}, { LogFault::Gap, LogFault::Gap }, "published", 1 },
        { "refused", { LogFault::Refused }, {}, "not-published", 0 },
    };
    for (const auto& row : rows) {
        Fixture it;
        it.log.appendFaults = row.appendFaults;
        it.log.readFaults = row.readFaults;
        BOOST_TEST(textOf(it.publish(newRoute())) == row.result, row.name);
        BOOST_TEST(it.timesApplied(7) == row.timesApplied, row.name);
    }
}

BOOST_AUTO_TEST_CASE(A_retry_with_a_new_id_would_take_effect_a_second_time)
{
    const std::vector<Change> startMove { PutMove { move("m", "booking", "booking-2") } };
    Fixture it;
    it.log.appendFaults = { LogFault::AnswerLost };
    it.log.readFaults.assign(1000, LogFault::Down);
    it.log.readFaults.front() = LogFault::None;
    BOOST_REQUIRE(textOf(it.publish(startMove, 7)) == "unknown");
    it.log.readFaults.clear();
    const auto newId = it.publish(startMove, 8);
    BOOST_TEST(textOf(newId) == "published");
    BOOST_TEST(it.timesApplied(7) + it.timesApplied(8) == 2);
}

BOOST_AUTO_TEST_CASE(A_result_that_cannot_be_determined_is_reported_as_unknown_and_a_second_run_with_the_id_is_safe)
{
    for (const auto fault : { LogFault::AnswerLost, LogFault::RequestLost }) {
        Fixture it;
        it.log.appendFaults = { fault };
        it.log.readFaults.assign(1000, LogFault::Down);
        it.log.readFaults.front() = LogFault::None;
        const auto result = it.publish(newRoute());
        BOOST_REQUIRE(textOf(result) == "unknown");
        BOOST_TEST((std::get<ResultUnknown>(result).id == recordId(7)));
        it.log.readFaults.clear();
        const auto second = it.publish(newRoute());
        BOOST_TEST(textOf(second) == (fault == LogFault::AnswerLost ? "published-before" : "published"));
        BOOST_TEST(it.timesApplied(7) == 1);
    }
}

BOOST_AUTO_TEST_CASE(Of_two_concurrent_publications_the_rejected_one_reports_the_change_that_its_author_had_not_read)
{
    Fixture it;
    it.log.beforeAppend = [&] { it.log.take(encodeRecord(publishRecord(50, 2, newRoute("/rival")))); };
    const auto result = it.publish(newRoute("/mine"));
    BOOST_REQUIRE(textOf(result) == "rejected");
    const auto& fault = std::get<PublishRejected>(result).faults.front();
    BOOST_TEST((fault.kind == FaultKind::StaleBase));
    BOOST_TEST(fault.changedAt == 2U);
}

BOOST_AUTO_TEST_CASE(Concurrent_publications_of_different_objects_both_succeed)
{
    Fixture it;
    it.log.beforeAppend = [&] { it.log.take(encodeRecord(akwapimRecord(50, 2, { PutVersion { version("maps-1", "maps", akwapim) }, PutService { service("maps", "maps-1", akwapim) } }))); };
    BOOST_TEST(textOf(it.publish(newRoute())) == "published");
}

BOOST_AUTO_TEST_CASE(Nothing_is_appended_if_the_check_or_the_key_fails)
{
    Fixture it;
    BOOST_TEST(textOf(it.publish({ PutRoute { route("r", "nowhere", "/") } })) == "check-failed");
    BOOST_TEST(textOf(it.publish(newRoute(), 7, akwapimKey())) == "wrong-key");
    BOOST_TEST(it.log.next() == 2U);
}

BOOST_AUTO_TEST_CASE(A_trimmed_log_is_read_from_its_checkpoint)
{
    Fixture it;
    it.log.take(encodeRecord(publishRecord(7, 2, newRoute())));
    ConfigurationLogFollower reader { trustedKeys() };
    reader.onBatch(std::get<LogBatch>(it.log.read(0, 100)));
    const CheckpointRecord checkpoint { recordId(1, "node-1"), NodeName { "node-1" }, WallTime {}, reader.replicatedState().value(), {} };
    it.log.take(encodeRecord(publishRecord(8, 3, { PutRoute { route("crossed", "booking", "/crossed") } })));
    it.log.take(encodeRecord(Record { sign(checkpoint, petraKey()) }));
    it.log.take(encodeRecord(Record { sign(checkpoint, fleetKey()) }));
    it.log.trim(3);
    BOOST_TEST(textOf(it.publish({ PutRoute { route("more", "booking", "/more") } }, 9)) == "published");
    BOOST_TEST(textOf(it.publish(newRoute(), 7)) == "published-before");

    // Without a checkpoint whose following records are kept, the state is unknown, and nothing is appended.
    it.log.trim(4);
    const auto end = it.log.next();
    BOOST_TEST(textOf(it.publish({ PutRoute { route("none", "booking", "/none") } }, 10)) == "no-checkpoint");
    BOOST_TEST(it.log.next() == end);
}

BOOST_AUTO_TEST_SUITE_END()

}
