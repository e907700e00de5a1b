#include "StateMachineFixture.h"

namespace carobpath::publication {

using namespace samples;

BOOST_AUTO_TEST_SUITE(CheckpointLoading)

namespace {

    CheckpointRecord checkpointOf(const ConfigurationStateMachine& machine)
    {
        return sign(CheckpointRecord { recordId(1, "node-1"), NodeName { "node-1" }, WallTime {}, machine.state(), {} }, fleetKey());
    }

}

BOOST_AUTO_TEST_CASE(Loading_a_checkpoint_and_replaying_the_tail_gives_the_same_state_as_replaying_the_full_log)
{
    PopulatedFixture full;
    const auto at = full.startMove("m");
    const auto checkpoint = checkpointOf(full.machine);
    auto machine = ConfigurationStateMachine::fromCheckpoint(checkpoint, trustedKeys());
    BOOST_REQUIRE(machine.has_value());
    StateMachineFixture recovered { *std::move(machine) };

    const auto repeated = publishRecord(2, 1, { PutVersion { version("booking-2", "booking") } });
    const std::vector<Record> tail { checkpoint, verdictRecord("m", at, MoveOutcome::Done), repeated,
        publishRecord(90, 6, { PutRoute { route("r", "booking", "/r") } }) };
    for (const auto& record : tail)
        BOOST_TEST((full.apply(record) == recovered.apply(record)));
    BOOST_TEST((full.machine.state() == recovered.machine.state()));
}

BOOST_AUTO_TEST_CASE(A_checkpoint_is_compared_with_the_state_of_its_own_offset)
{
    PopulatedFixture it;
    const auto checkpoint = checkpointOf(it.machine);
    it.startMove("m");
    BOOST_TEST((it.apply(checkpoint) == ApplyOutcome { CheckpointMatched { 3, WallTime {} } }));
}

BOOST_AUTO_TEST_CASE(A_wrong_checkpoint_is_reported_and_changes_nothing)
{
    PopulatedFixture it;
    const auto before = it.machine.state();
    auto otherSet = checkpointOf(it.machine);
    otherSet.state.set.routes.clear();
    otherSet.state.stamp->digest = digestOfSet(otherSet.state.set);
    auto wrongDigest = checkpointOf(it.machine);
    wrongDigest.state.set.routes.clear();
    auto lostId = checkpointOf(it.machine);
    lostId.state.records.pop_back();
    auto future = checkpointOf(it.machine);
    future.state.next += 100;
    for (const auto& wrong : { otherSet, wrongDigest, lostId, future }) {
        const auto outcome = it.apply(sign(wrong, fleetKey()));
        BOOST_TEST(std::holds_alternative<CheckpointMismatch>(outcome), toString(outcome));
    }
    BOOST_TEST((it.machine.current()->stamp == *before.stamp));
    BOOST_TEST((it.machine.state().records == before.records));
    BOOST_TEST(!ConfigurationStateMachine::fromCheckpoint(sign(wrongDigest, fleetKey()), trustedKeys()).has_value());
    BOOST_TEST(!ConfigurationStateMachine::fromCheckpoint(sign(checkpointOf(it.machine), petraKey()), trustedKeys()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}
