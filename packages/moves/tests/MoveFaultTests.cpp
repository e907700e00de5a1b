#include "FakeFleet.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::moves {

using namespace std::chrono_literals;
using publication::MoveOutcome;
using publication::MoveVerdict;
using publication::ThinEvidencePolicy;

namespace {

    constexpr auto length = 160s;

    using Rate = std::function<double(milliseconds)>;

    Rate failingFrom(milliseconds onset)
    {
        return [onset](milliseconds now) { return now >= onset ? 0.5 : 0.0; };
    }

    Rate failingDuring(Span span)
    {
        return [span](milliseconds now) { return span.contains(now) ? 0.5 : 0.0; };
    }

    struct FaultCase {
        std::string name;
        std::function<void(FakeFleet&)> arrange;
        std::optional<MoveOutcome> outcome;
        milliseconds moveLength = length;
    };

    /// \returns the verdict's outcome as text, for a readable failure message.
    std::string textOf(const std::optional<MoveOutcome>& it)
    {
        return it ? std::to_string(static_cast<int>(*it)) : "none";
    }

    void checkCase(const FaultCase& it)
    {
        BOOST_TEST_CONTEXT(it.name)
        {
            FakeFleet fleet(it.moveLength, ThinEvidencePolicy::TakeBack);
            it.arrange(fleet);
            fleet.play();
            const auto outcome = fleet.log.verdict() ? std::optional { fleet.log.verdict()->outcome } : std::nullopt;
            BOOST_TEST(textOf(outcome) == textOf(it.outcome));
            BOOST_TEST(fleet.log.changes() <= 1U);
            BOOST_TEST(fleet.disagreements() == 0U);
            if (outcome == MoveOutcome::Done)
                BOOST_TEST((fleet.log.recordedAt() <= it.moveLength));
            for (std::size_t i = 0; i < FakeFleet::s_nodes; ++i) {
                const auto share = fleet.engine(i).trafficSplit(ServiceName { "booking" }, FakeFleet::at(it.moveLength + 59900ms));
                BOOST_TEST(share.nextShare == 0.0);
                BOOST_TEST(share.current.value() == (outcome == MoveOutcome::Done ? "booking-2" : "booking-1"));
            }
        }
    }

    const std::vector<FaultCase> goodVersions {
        { "no fault", [](FakeFleet&) {}, MoveOutcome::Done },
        { "log down for most of the move", [](FakeFleet& it) { it.log.outages = { { 5s, 150s } }; }, MoveOutcome::Done },
        { "split for half of the move", [](FakeFleet& it) { it.cuts[1] = it.cuts[3] = { { 40s, 120s } }; }, MoveOutcome::Done },
        { "one node cut off to the end", [](FakeFleet& it) { it.cuts[3] = { { 100s, 170s } }; }, MoveOutcome::Done },
        { "every node killed once", [](FakeFleet& it) {
             for (std::size_t i = 0; i < FakeFleet::s_nodes; ++i)
                 it.kills[i] = { { 30s + i * 20s, 40s + i * 20s } };
         },
            MoveOutcome::Done },
        { "every node killed at once", [](FakeFleet& it) {
             for (auto& kills : it.kills)
                 kills = { { 30s, 35s } };
         },
            MoveOutcome::Done },
        { "errors that both versions share", [](FakeFleet& it) { it.newFailRate = it.oldFailRate = failingDuring({ 60s, 75s }); }, MoveOutcome::Done },
        { "short deadline", [](FakeFleet& it) { it.callsPerStep = 20; }, MoveOutcome::Done, 30s },
        { "long deadline", [](FakeFleet&) {}, MoveOutcome::Done, 1200s },
    };

    const std::vector<FaultCase> faultyVersions {
        { "failing from the start", [](FakeFleet& it) { it.newFailRate = failingFrom(0s); }, MoveOutcome::TakenBack },
        { "failing in the last fifth", [](FakeFleet& it) { it.newFailRate = failingFrom(135s); }, MoveOutcome::TakenBack },
        { "log down for most of the move", [](FakeFleet& it) { it.newFailRate = failingFrom(60s), it.log.outages = { { 5s, 150s } }; }, MoveOutcome::TakenBack },
        { "log down beyond the deadline", [](FakeFleet& it) { it.newFailRate = failingFrom(60s), it.log.outages = { { 5s, 180s } }; }, MoveOutcome::TakenBack },
        { "found on one side of a split", [](FakeFleet& it) { it.newFailRate = failingFrom(60s), it.cuts[0] = { { 50s, 90s } }; }, MoveOutcome::TakenBack },
        { "nodes of the new version killed", [](FakeFleet& it) { it.newFailRate = failingFrom(60s), it.kills[2] = { { 62s, 70s } }; }, MoveOutcome::TakenBack },
        { "no calls at all", [](FakeFleet& it) { it.callsPerStep = 0; }, MoveOutcome::TakenBack },
    };

}

BOOST_AUTO_TEST_SUITE(Faults)

BOOST_AUTO_TEST_CASE(A_move_to_a_good_version_completes_in_time_under_each_fault)
{
    for (const auto& it : goodVersions)
        checkCase(it);
}

BOOST_AUTO_TEST_CASE(A_faulty_version_is_taken_back_under_each_fault)
{
    for (const auto& it : faultyVersions)
        checkCase(it);
}

BOOST_AUTO_TEST_CASE(A_version_is_taken_back_without_delay_while_the_log_is_down)
{
    FakeFleet fleet(length, ThinEvidencePolicy::TakeBack);
    fleet.newFailRate = failingFrom(60s);
    fleet.log.outages = { { 5s, 200s } };
    fleet.play();
    BOOST_TEST(fleet.newCallsAfter(75s) == 0U);
    BOOST_TEST((fleet.log.recordedAt() >= 200s));
}

BOOST_AUTO_TEST_CASE(A_verdict_whose_answer_was_lost_is_appended_again_and_counts_once)
{
    FakeFleet fleet(length, ThinEvidencePolicy::TakeBack);
    fleet.newFailRate = failingFrom(60s);
    fleet.log.readDelay = 20s;
    fleet.play();
    BOOST_TEST(fleet.log.records() > 1U);
    BOOST_TEST(fleet.log.changes() == 1U);
    BOOST_TEST(fleet.disagreements() == 0U);
}

BOOST_AUTO_TEST_CASE(Calls_of_killed_nodes_are_not_counted_twice)
{
    FakeFleet fleet(length, ThinEvidencePolicy::TakeBack);
    for (std::size_t i = 0; i < FakeFleet::s_nodes; ++i)
        fleet.kills[i] = { { 30s + i * 20s, 40s + i * 20s } };
    fleet.play();
    for (std::size_t i = 0; i < FakeFleet::s_nodes; ++i) {
        BOOST_TEST(fleet.evidenceOfNewCalls(i) > 0U);
        BOOST_TEST(fleet.evidenceOfNewCalls(i) <= fleet.admittedNewCalls());
    }
}

BOOST_AUTO_TEST_CASE(A_paused_writer_cannot_overwrite_a_verdict)
{
    for (const bool isBroken : { false, true }) {
        FakeFleet fleet(length, ThinEvidencePolicy::TakeBack);
        fleet.log.lastRecordWins = isBroken;
        fleet.newFailRate = failingFrom(60s);
        fleet.play();
        // The writer was paused before it appended its Done verdict, and resumes now.
        fleet.log.append(MoveVerdict { MoveOutcome::Done, publication::MoveReason::None, {}, {} }, 300s);
        const bool isKept = fleet.log.verdict()->outcome == MoveOutcome::TakenBack;
        BOOST_TEST(isKept == !isBroken);
    }
}

BOOST_AUTO_TEST_CASE(A_node_paused_while_the_move_was_taken_back_sends_nothing_to_the_new_version)
{
    FakeFleet fleet(length, ThinEvidencePolicy::TakeBack);
    fleet.newFailRate = failingFrom(60s);
    fleet.pauses[1] = { { 59s, 120s } };
    fleet.play();
    BOOST_TEST(fleet.newCallsAfter(75s) == 0U);
    // The last split of the node dates from before the pause and is not used.
    FakeFleet stale(length, ThinEvidencePolicy::TakeBack);
    stale.pauses[1] = { { 59s, 500s } };
    stale.play();
    BOOST_TEST(stale.engine(1).trafficSplit(ServiceName { "booking" }, FakeFleet::at(60s)).nextShare > 0.0);
    BOOST_TEST(stale.engine(1).trafficSplit(ServiceName { "booking" }, FakeFleet::at(62s)).nextShare == 0.0);
}

BOOST_AUTO_TEST_CASE(A_withdrawn_move_stops_and_nodes_append_no_verdict)
{
    FakeFleet fleet(length, ThinEvidencePolicy::TakeBack);
    fleet.withdrawnAt = 70s;
    fleet.play();
    BOOST_TEST(fleet.newCallsAfter(71s) == 0U);
    BOOST_TEST(fleet.log.records() == 0U);
    BOOST_TEST(toString(fleet.engine(0).report(MoveName { "to-2" }, FakeFleet::at(80s))->state) == "withdrawn");
}

BOOST_AUTO_TEST_CASE(A_replaced_move_hands_its_service_over_to_the_next)
{
    FakeFleet fleet(length, ThinEvidencePolicy::TakeBack);
    fleet.replacedAt = 70s;
    fleet.play();
    BOOST_TEST(fleet.newCallsAfter(71s) == 0U);
    BOOST_TEST(fleet.disagreements() == 0U);
    BOOST_TEST(fleet.engine(0).report(MoveName { "to-3" }, FakeFleet::at(80s)).has_value());
}

BOOST_AUTO_TEST_CASE(Insufficient_evidence_at_the_deadline_is_handled_by_the_members_policy)
{
    for (const auto policy : { ThinEvidencePolicy::Finish, ThinEvidencePolicy::TakeBack }) {
        FakeFleet fleet(length, policy);
        fleet.callsPerStep = 0;
        fleet.play();
        BOOST_REQUIRE(fleet.log.verdict().has_value());
        const auto expected = policy == ThinEvidencePolicy::Finish ? MoveOutcome::Done : MoveOutcome::TakenBack;
        BOOST_TEST((fleet.log.verdict()->outcome == expected));
        BOOST_TEST((fleet.log.verdict()->reason == publication::MoveReason::ThinEvidence));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
