#include "LedgerHistory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace carobpath::routing::tests {

namespace {

    /// Grants a key once its append is acknowledged and no holder is known in its own memory, without reading back.
    class LedgerWithoutReadBack {
    public:
        LedgerWithoutReadBack(const NodeName&, Incarnation) { }

        LedgerCommands onClaim(const IntentClaim& claim, MonotonicTime)
        {
            const auto batch = claim.request.value();
            m_claims[batch] = claim;
            AppendIntents it { partitionOf(claim.key), batch, encodeIntents({ batch, {} }) };
            LedgerCommands commands;
            commands.emplace_back(std::move(it));
            return commands;
        }
        LedgerCommands onAppended(Partition, const std::string& batch, publication::Offset, MonotonicTime)
        {
            const auto& claim = m_claims[batch];
            const auto holder = m_holders.try_emplace(claim.key, claim.request).first;
            const bool granted = holder->second == claim.request;
            const auto answer = granted ? ClaimStatus::Granted : ClaimStatus::DuplicateInProgress;
            return { AnswerClaim { claim.request, { answer, std::nullopt } } };
        }
        LedgerCommands onCallEnded(const IntentEnd& end, MonotonicTime)
        {
            if (end.outcome == Outcome::NotRun && m_holders[end.key] == end.request)
                m_holders.erase(end.key);
            return {};
        }
        LedgerCommands onAppendFailed(Partition, const std::string&, MonotonicTime) { return {}; }
        LedgerCommands onRead(Partition, const IntentPage&, MonotonicTime) { return {}; }
        LedgerCommands onReadFailed(Partition, MonotonicTime) { return {}; }
        LedgerCommands onTick(MonotonicTime) { return {}; }

    private:
        std::map<std::string, IntentClaim> m_claims;
        std::map<IntentKey, RequestId> m_holders;
    };

    template <typename Ledger>
    bool keysAreHeldOnce(const char* name, int histories, bool printFailure)
    {
        HistoryParameters parameters;
        parameters.seed = 20261203;
        parameters.histories = histories;
        parameters.actions = LedgerHistory<Ledger>::Actions;
        parameters.maxSteps = 200;
        return holdsForAll(name, parameters, printFailure, [](const Steps& steps) {
            LedgerHistory<Ledger> history;
            return history.run(steps);
        });
    }

    /// One owner with a log that answers at once.
    struct LedgerFixture {
        FakeIntentLog log;
        IdempotencyLedger ledger { NodeName { "owner" }, Incarnation { 1 } };
        MonotonicTime now { 1000s };
        bool logUp = true;
        bool appendAnswersLost = false;
        std::map<RequestId, ClaimResult> results;

        static IntentKey key(const char* name = "key")
        {
            return intentKeyOf(RouteName { "book" }, IdempotencyKey { name });
        }
        void claim(const char* request, const char* name = "key")
        {
            take(ledger.onClaim({ key(name), RequestId { request }, now + 3s }, now));
        }
        void end(const char* request, Outcome outcome, const char* name = "key")
        {
            take(ledger.onCallEnded({ key(name), RequestId { request }, outcome }, now));
        }
        void wait(std::chrono::milliseconds time)
        {
            const auto until = now + time;
            while (const auto due = ledger.nextTick()) {
                if (*due > until)
                    break;
                now = std::max(now, *due);
                take(ledger.onTick(now));
            }
            now = until;
            take(ledger.onTick(now));
        }
        void take(const LedgerCommands& commands)
        {
            for (const auto& it : commands)
                std::visit([this](const auto& command) { run(command); }, it);
        }
        void run(const AnswerClaim& it) { results[it.request] = it.result; }
        void run(const AppendIntents& it)
        {
            if (!logUp) {
                take(ledger.onAppendFailed(it.partition, it.batch, now));
                return;
            }
            const auto offset = log.append(it.partition, it.bytes);
            if (appendAnswersLost)
                take(ledger.onAppendFailed(it.partition, it.batch, now));
            else
                take(ledger.onAppended(it.partition, it.batch, offset, now));
        }
        void run(const ReadIntents& it)
        {
            if (logUp)
                take(ledger.onRead(it.partition, log.read(it.partition, it.from), now));
            else
                take(ledger.onReadFailed(it.partition, now));
        }
        std::optional<ClaimStatus> answer(const char* request) const
        {
            const auto it = results.find(RequestId { request });
            if (it == results.end())
                return std::nullopt;
            return it->second.answer;
        }
    };

    struct SecondClaimRow {
        const char* first;
        std::optional<Outcome> end;
        ClaimStatus second;
    };

}

BOOST_AUTO_TEST_SUITE(IdempotencyKeys)

BOOST_AUTO_TEST_CASE(A_second_call_with_a_key_is_answered_by_how_the_first_ended)
{
    const SecondClaimRow rows[] {
        { "still running", std::nullopt, ClaimStatus::DuplicateInProgress },
        { "ran", Outcome::Ran, ClaimStatus::DuplicateRan },
        { "not run", Outcome::NotRun, ClaimStatus::Granted },
        { "end unknown", Outcome::Unknown, ClaimStatus::DuplicateInProgress },
    };
    for (const auto& row : rows) {
        BOOST_TEST_CONTEXT(row.first)
        {
            LedgerFixture fixture;
            fixture.claim("a");
            BOOST_TEST((fixture.answer("a") == ClaimStatus::Granted));
            if (row.end)
                fixture.end("a", *row.end);
            fixture.wait(1s);
            fixture.claim("b");
            fixture.wait(1s);
            BOOST_TEST((fixture.answer("b") == row.second));
        }
    }
}

BOOST_AUTO_TEST_CASE(Equal_keys_of_different_routes_are_distinct)
{
    const IdempotencyKey key { "key" };
    BOOST_TEST(intentKeyOf(RouteName { "book" }, key).value() != intentKeyOf(RouteName { "pay" }, key).value());
}

BOOST_AUTO_TEST_CASE(A_claim_whose_append_answer_was_lost_is_found_by_reading_back)
{
    LedgerFixture fixture;
    fixture.appendAnswersLost = true;
    fixture.claim("a");
    fixture.wait(1s);
    BOOST_TEST((fixture.answer("a") == ClaimStatus::Granted));
    BOOST_TEST(fixture.log.appends() == 1U);
}

BOOST_AUTO_TEST_CASE(While_the_log_is_unavailable_waiting_claims_are_refused_soon_and_new_ones_at_once)
{
    LedgerFixture fixture;
    fixture.logUp = false;
    fixture.claim("a");
    fixture.wait(200ms);
    BOOST_TEST((fixture.answer("a") == ClaimStatus::Unavailable));
    fixture.claim("b");
    BOOST_TEST((fixture.answer("b") == ClaimStatus::Unavailable));
    fixture.logUp = true;
    fixture.wait(5s);
    fixture.claim("c");
    fixture.wait(1s);
    BOOST_TEST((fixture.answer("c") == ClaimStatus::Granted));
}

BOOST_AUTO_TEST_CASE(A_new_owner_reads_the_full_partition_before_it_grants_a_key)
{
    LedgerFixture fixture;
    fixture.claim("a");
    fixture.ledger = IdempotencyLedger { NodeName { "successor" }, Incarnation { 2 } };
    fixture.claim("b");
    BOOST_TEST((fixture.answer("b") == ClaimStatus::DuplicateInProgress));
}

BOOST_AUTO_TEST_CASE(A_key_is_forgotten_with_the_logs_retention)
{
    LedgerFixture fixture;
    fixture.claim("a");
    fixture.log.trimBefore(partitionOf(LedgerFixture::key()), 1);
    fixture.ledger = IdempotencyLedger { NodeName { "successor" }, Incarnation { 2 } };
    fixture.claim("b");
    fixture.wait(1s);
    BOOST_TEST((fixture.answer("b") == ClaimStatus::Granted));
}

BOOST_AUTO_TEST_CASE(An_owner_that_was_idle_past_the_retention_grants_without_delay)
{
    LedgerFixture fixture;
    fixture.claim("a");
    fixture.end("a", Outcome::NotRun);
    fixture.wait(1s);
    const auto partition = partitionOf(LedgerFixture::key());
    for (int i = 0; i < 5; ++i)
        fixture.log.append(partition, encodeIntents({ "other-" + std::to_string(i), {} }));
    fixture.log.trimBefore(partition, 5);
    fixture.claim("b");
    BOOST_TEST((fixture.answer("b") == ClaimStatus::Granted));
}

BOOST_AUTO_TEST_CASE(A_waiting_claim_is_answered_when_its_call_ends)
{
    LedgerFixture fixture;
    fixture.claim("first");
    std::string sibling = "key-0";
    for (int i = 1; partitionOf(LedgerFixture::key(sibling.c_str())) != partitionOf(LedgerFixture::key()); ++i)
        sibling = "key-" + std::to_string(i);
    // The partition has just been written to, so this claim waits for the next group commit.
    fixture.claim("second", sibling.c_str());
    BOOST_TEST(!fixture.answer("second").has_value());
    fixture.end("second", Outcome::NotRun, sibling.c_str());
    BOOST_TEST((fixture.answer("second") == ClaimStatus::Unavailable));
}

BOOST_AUTO_TEST_CASE(Claims_that_come_together_share_one_append)
{
    LedgerFixture fixture;
    fixture.claim("first");
    fixture.wait(1ms);
    const auto before = fixture.log.appends();
    // The partition has just been written to, so these claims wait for the next group commit.
    for (int i = 0; i < 100; ++i)
        fixture.claim(("r" + std::to_string(i)).c_str(), "key");
    for (int i = 0; i < 100; ++i)
        fixture.end(("r" + std::to_string(i)).c_str(), Outcome::NotRun, "key");
    fixture.wait(1s);
    BOOST_TEST(fixture.log.appends() - before <= 1U);
}

BOOST_AUTO_TEST_CASE(The_end_of_a_call_that_ran_waits_for_the_next_claim_to_share_its_append)
{
    LedgerFixture fixture;
    fixture.claim("a");
    fixture.end("a", Outcome::Ran);
    fixture.wait(1s);
    BOOST_TEST(fixture.log.appends() == 1U);
    fixture.wait(PartitionOwner::s_ranInterval);
    BOOST_TEST(fixture.log.appends() == 2U);
    fixture.ledger = IdempotencyLedger { NodeName { "successor" }, Incarnation { 2 } };
    fixture.claim("b");
    BOOST_TEST((fixture.answer("b") == ClaimStatus::DuplicateRan));
}

BOOST_AUTO_TEST_CASE(A_claim_appended_after_its_request_released_the_key_does_not_hold_it)
{
    const auto key = LedgerFixture::key();
    const RequestId late { "late" };
    IntentPartition partition;
    const IntentBatch release { "b1", { { IntentKind::Release, key, late } } };
    const IntentBatch claim { "b2", { { IntentKind::Claim, key, late } } };
    partition.apply({ 0, 2, { { 0, encodeIntents(release) }, { 1, encodeIntents(claim) } } });
    BOOST_TEST((partition.status(key, RequestId { "other" }) == KeyStatus::Open));
    BOOST_TEST((partition.status(key, late) == KeyStatus::Released));
}

BOOST_AUTO_TEST_CASE(A_record_that_is_not_a_valid_batch_is_skipped)
{
    LedgerFixture fixture;
    const auto partition = partitionOf(LedgerFixture::key());
    for (const char* body : { "", "{}", "[]", R"({"batch":1,"intents":[]})", R"({"batch":"b","intents":[["claim"]]})" })
        fixture.log.append(partition, body);
    fixture.claim("a");
    BOOST_TEST((fixture.answer("a") == ClaimStatus::Granted));
}

BOOST_AUTO_TEST_CASE(A_partition_over_capacity_refuses_claims_and_keeps_its_memory_bounded)
{
    LedgerFixture fixture;
    const auto partition = partitionOf(LedgerFixture::key());
    for (std::size_t i = 0; i <= IntentPartition::s_maxKeys / 512; ++i) {
        IntentBatch batch { "batch-" + std::to_string(i), {} };
        for (std::size_t n = 0; n < 512; ++n) {
            const auto name = std::to_string(i) + "-" + std::to_string(n);
            batch.intents.push_back({ IntentKind::Claim, IntentKey { name }, RequestId { name } });
        }
        fixture.log.append(partition, encodeIntents(batch));
    }
    fixture.claim("a");
    fixture.wait(4s);
    BOOST_TEST((fixture.answer("a") == ClaimStatus::Unavailable));
    BOOST_TEST(fixture.ledger.keys() <= IntentPartition::s_maxKeys);
}

BOOST_AUTO_TEST_CASE(With_two_concurrent_owners_lost_answers_and_kills_a_key_runs_at_most_once)
{
    BOOST_TEST(keysAreHeldOnce<IdempotencyLedger>("ledger with read-back", 3000, true));
}

BOOST_AUTO_TEST_CASE(Without_reading_back_the_same_histories_run_a_key_twice)
{
    BOOST_TEST(!keysAreHeldOnce<LedgerWithoutReadBack>("ledger without read-back", 3000, false));
}

BOOST_AUTO_TEST_CASE(After_any_faults_a_new_key_is_granted)
{
    HistoryParameters parameters;
    parameters.seed = 20261204;
    parameters.histories = 300;
    parameters.actions = LedgerHistory<IdempotencyLedger>::Actions;
    BOOST_TEST(holdsForAll("ledger after faults", parameters, true, [](const Steps& steps) {
        LedgerHistory<IdempotencyLedger> history;
        history.run(steps);
        return history.grantsAfterFaults();
    }));
}

BOOST_AUTO_TEST_SUITE_END()

}
