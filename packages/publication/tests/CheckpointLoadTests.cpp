#include "StateMachineFixture.h"

namespace carobpath::publication {

using namespace samples;

BOOST_AUTO_TEST_SUITE(CheckpointsInTheFold)

namespace {

    CheckpointRecord checkpointOf(const ConfigurationStateMachine& fold)
    {
        return sign(CheckpointRecord { recordId(1, "node-1"), NodeName { "node-1" }, WallTime {}, fold.state(), {} }, fleetKey());
    }

}

BOOST_AUTO_TEST_CASE(A_fold_from_a_checkpoint_and_the_tail_equals_the_whole_fold)
{
    Published whole;
    const auto at = whole.startMove("m");
    const auto checkpoint = checkpointOf(whole.fold);
    auto fold = ConfigurationStateMachine::fromCheckpoint(checkpoint, trustedKeys());
    BOOST_REQUIRE(fold.has_value());
    Reader recovered { *std::move(fold) };

    const auto repeated = publishRecord(2, 1, { PutVersion { version("booking-2", "booking") } });
    const std::vector<Record> tail { checkpoint, verdictRecord("m", at, MoveOutcome::Done), repeated,
        publishRecord(90, 6, { PutRoute { route("r", "booking", "/r") } }) };
    for (const auto& record : tail)
        BOOST_TEST((whole.apply(record) == recovered.apply(record)));
    BOOST_TEST((whole.fold.state() == recovered.fold.state()));
}

BOOST_AUTO_TEST_CASE(A_checkpoint_is_compared_with_the_state_of_its_own_offset)
{
    Published it;
    const auto checkpoint = checkpointOf(it.fold);
    it.startMove("m");
    BOOST_TEST((it.apply(checkpoint) == ApplyOutcome { CheckpointMatched { 3, WallTime {} } }));
}

BOOST_AUTO_TEST_CASE(A_wrong_checkpoint_is_reported_and_changes_nothing)
{
    Published it;
    const auto before = it.fold.state();
    auto otherSet = checkpointOf(it.fold);
    otherSet.state.set.routes.clear();
    otherSet.state.stamp->digest = digestOfSet(otherSet.state.set);
    auto wrongDigest = checkpointOf(it.fold);
    wrongDigest.state.set.routes.clear();
    auto lostId = checkpointOf(it.fold);
    lostId.state.records.pop_back();
    auto future = checkpointOf(it.fold);
    future.state.next += 100;
    for (const auto& wrong : { otherSet, wrongDigest, lostId, future }) {
        const auto outcome = it.apply(sign(wrong, fleetKey()));
        BOOST_TEST(std::holds_alternative<CheckpointMismatch>(outcome), toString(outcome));
    }
    BOOST_TEST((it.fold.current()->stamp == *before.stamp));
    BOOST_TEST((it.fold.state().records == before.records));
    BOOST_TEST(!ConfigurationStateMachine::fromCheckpoint(sign(wrongDigest, fleetKey()), trustedKeys()).has_value());
    BOOST_TEST(!ConfigurationStateMachine::fromCheckpoint(sign(checkpointOf(it.fold), petraKey()), trustedKeys()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}
