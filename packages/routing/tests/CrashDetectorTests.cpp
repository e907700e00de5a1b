#include "AdmissionFixture.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

namespace {

    /// Calls with fingerprints 1, 2, 3 in flight.
    struct CrashFixture : AdmissionFixture {
        std::vector<RequestId> ids;

        explicit CrashFixture(int calls)
        {
            for (int i = 1; i <= calls; ++i) {
                auto it = request();
                it.fingerprint = static_cast<Fingerprint>(i);
                arrive(it);
                ids.push_back(it.id);
            }
        }
        void lose(std::size_t index) { finish(ids[index], BackendResult::ConnectionLost); }
        /// Sends one more call and ends it with the result.
        void call(BackendResult result)
        {
            const auto it = request();
            if (isDispatched(arrive(it), it.id))
                finish(it.id, result);
        }
        std::size_t suspects()
        {
            const auto crash = controller.takeCrash();
            return crash ? crash->size() : 0;
        }
    };

    struct CrashRow {
        const char* name;
        int calls;
        void (*events)(CrashFixture&);
        std::size_t suspects;
    };

    const CrashRow crashRows[] {
        { "one connection is lost and the server answers others", 3,
            [](CrashFixture& it) {
                it.lose(0);
                it.now += 10ms;
                it.call(BackendResult::Answered);
                it.call(BackendResult::ConnectFailed);
            },
            0 },
        { "a connection is lost and the next one is refused", 1,
            [](CrashFixture& it) {
                it.lose(0);
                it.now += 10ms;
                it.call(BackendResult::ConnectFailed);
            },
            1 },
        { "all of several connections are lost together", 3,
            [](CrashFixture& it) {
                for (std::size_t i = 0; i < 3; ++i)
                    it.lose(i);
            },
            3 },
        { "connections are lost one by one over a long time", 3,
            [](CrashFixture& it) {
                for (std::size_t i = 0; i < 3; ++i) {
                    it.lose(i);
                    it.now += 400ms;
                }
            },
            0 },
        { "the server announces itself as cold after a loss", 2,
            [](CrashFixture& it) {
                it.lose(0);
                it.controller.setUpstream(makeUpstream(membership::UpstreamState::Cold), it.now + 1s);
            },
            2 },
        { "the announcement expires after a loss", 2,
            [](CrashFixture& it) {
                it.lose(0);
                it.controller.setUpstream(std::nullopt, it.now + 1s);
            },
            2 },
        { "one request was answered just before", 3,
            [](CrashFixture& it) {
                it.lose(0);
                it.finish(it.ids[1]);
                it.lose(2);
            },
            2 },
        { "the server restarts long after a loss", 1,
            [](CrashFixture& it) {
                it.lose(0);
                it.controller.setUpstream(makeUpstream(membership::UpstreamState::Cold), it.now + 10s);
            },
            0 },
        { "the server restarts without a loss", 1,
            [](CrashFixture& it) {
                it.controller.setUpstream(makeUpstream(membership::UpstreamState::Cold), it.now);
            },
            0 },
    };

}

BOOST_AUTO_TEST_SUITE(CrashDetection)

BOOST_AUTO_TEST_CASE(A_crash_is_distinguished_from_a_lost_connection)
{
    for (const auto& row : crashRows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            CrashFixture fixture { row.calls };
            row.events(fixture);
            BOOST_TEST(fixture.suspects() == row.suspects);
        }
    }
}

BOOST_AUTO_TEST_CASE(Successive_crashes_are_taken_one_by_one)
{
    CrashFixture fixture { 2 };
    fixture.lose(0);
    fixture.lose(1);
    fixture.controller.setUpstream(makeUpstream(membership::UpstreamState::Cold), fixture.now);
    const auto again = fixture.request();
    fixture.arrive(again);
    fixture.finish(again.id, BackendResult::ConnectionLost);
    fixture.controller.setUpstream(std::nullopt, fixture.now);
    BOOST_TEST(fixture.suspects() == 2U);
    BOOST_TEST(fixture.suspects() == 1U);
    BOOST_TEST(fixture.suspects() == 0U);
}

BOOST_AUTO_TEST_CASE(Two_suspects_do_not_run_at_the_same_time)
{
    AdmissionFixture fixture;
    fixture.controller.setFingerprintChecks(
        { {}, [](Fingerprint it) { return it == 1 || it == 2; } });
    const auto arrive = [&](Fingerprint fingerprint) {
        auto it = fixture.request();
        it.fingerprint = fingerprint;
        return std::pair(it.id, isDispatched(fixture.arrive(it), it.id));
    };
    const auto firstSuspect = arrive(1);
    BOOST_TEST(firstSuspect.second);
    const auto secondSuspect = arrive(2);
    BOOST_TEST(!secondSuspect.second);
    BOOST_TEST(arrive(3).second);
    BOOST_TEST(isDispatched(fixture.finish(firstSuspect.first), secondSuspect.first));
}

BOOST_AUTO_TEST_CASE(A_request_in_quarantine_is_refused_as_not_run_with_the_time_left)
{
    AdmissionFixture fixture;
    fixture.controller.setFingerprintChecks(
        { [](Fingerprint, MonotonicTime) { return std::optional<std::chrono::milliseconds> { 1500ms }; }, {} });
    const auto request = fixture.request();
    const auto refusal = refusalOf(fixture.arrive(request), request.id);
    BOOST_REQUIRE(refusal);
    BOOST_TEST((*refusal == Refusal { Outcome::NotRun, RefusalReason::Quarantined, 1500ms }));
}

BOOST_AUTO_TEST_SUITE_END()

}
