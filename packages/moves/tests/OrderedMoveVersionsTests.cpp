#include "OrderedMoveFleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

namespace carobpath::moves::tests {

namespace {

    const VersionName thirdVersion { "v3" };

    MoveOrder orderOf(const VersionName& to, publication::Offset offset) { return { service, to, 16s, offset }; }

    bool isRejected(const TrafficSplit& split, const VersionName& version)
    {
        return std::find(split.rejected.begin(), split.rejected.end(), version) != split.rejected.end();
    }

    /// \returns whether calls that are not drawn for the next version may go to this one.
    bool isServing(const OrderedMoves& node, const VersionName& version, MonotonicTime now)
    {
        const auto split = node.trafficSplit(service, now);
        if (!split.current.empty())
            return split.current == version;
        return !isRejected(split, version) && split.next != version;
    }

    /// Checks on every node that the first version gets the calls that are not drawn for the next one, and that the others do not.
    void checkServing(const Fleet& fleet, const VersionName& serving, const std::vector<VersionName>& others, MonotonicTime now)
    {
        for (const auto& node : fleet.nodes) {
            BOOST_TEST(isServing(node, serving, now));
            for (const auto& it : others)
                BOOST_TEST(!isServing(node, it, now));
        }
    }

}

BOOST_AUTO_TEST_SUITE(VersionsOfOrderedMoves)

// Guards against a version that was taken back and gets calls again once the next version is ordered.
BOOST_AUTO_TEST_CASE(A_version_that_was_taken_back_gets_no_calls_once_the_next_one_is_ordered)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 8s, always);
    BOOST_REQUIRE(fleet.finalState() == OrderedMoveState::TakenBack);
    fleet.addOrder(orderOf(thirdVersion, 9), start + 8s);
    checkServing(fleet, oldVersion, { newVersion, thirdVersion }, start + 8s);
}

// Guards against a version that gets all calls as soon as the operator orders another one to stop its move.
BOOST_AUTO_TEST_CASE(A_version_whose_move_was_replaced_before_its_end_gets_no_calls)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 1'500ms, never);
    fleet.addOrder(orderOf(thirdVersion, 9), start + 1'500ms);
    const VersionName fourthVersion { "v4" };
    fleet.addOrder(orderOf(fourthVersion, 11), start + 2s);
    checkServing(fleet, oldVersion, { newVersion, thirdVersion, fourthVersion }, start + 2s);
}

BOOST_AUTO_TEST_CASE(A_version_whose_move_was_done_goes_on_serving_while_the_next_one_moves)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 16s, never);
    BOOST_REQUIRE(fleet.finalState() == OrderedMoveState::Done);
    fleet.addOrder(orderOf(thirdVersion, 9), start + 20s);
    checkServing(fleet, newVersion, { thirdVersion }, start + 20s);
}

BOOST_AUTO_TEST_CASE(A_version_goes_on_serving_if_the_end_of_its_move_is_read_after_the_next_order)
{
    OrderedMoves node { NodeName { "n0" }, Incarnation { 1 }, ExposureBound {} };
    node.onOrder(order(5), 0ms, start);
    node.onOrder(orderOf(thirdVersion, 9), 0ms, start + 17s);
    BOOST_TEST(!isServing(node, newVersion, start + 17s));
    node.onStatus({ service, newVersion, 5, OrderedMoveState::Done });
    BOOST_TEST(isServing(node, newVersion, start + 17s));
}

BOOST_AUTO_TEST_CASE(A_rejected_version_that_is_ordered_again_gets_calls_again)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 8s, always);
    fleet.addOrder(orderOf(thirdVersion, 9), start + 8s);
    fleet.addOrder(order(11), start + 9s);
    for (auto& node : fleet.nodes) {
        node.tick(start + 9s);
        const auto split = node.trafficSplit(service, start + 9s);
        BOOST_TEST(split.next.value() == newVersion);
        BOOST_TEST(split.nextShare > 0);
        BOOST_TEST(!isRejected(split, newVersion));
    }
    checkServing(fleet, oldVersion, { newVersion, thirdVersion }, start + 9s);
}

// Guards against calls that are refused after an order back, where no version is left beside the ordered one.
BOOST_AUTO_TEST_CASE(An_order_back_to_the_only_version_in_service_sends_it_all_calls_at_once)
{
    Fleet fleet { 4 };
    for (auto& node : fleet.nodes)
        node.onUpstreams({ { service, oldVersion, NodeName { "u1" } }, { service, newVersion, NodeName { "u2" } } });
    fleet.addOrder(order(), start);
    fleet.run(0ms, 1'500ms, never);
    fleet.addOrder(orderOf(oldVersion, 9), start + 1'500ms);
    checkServing(fleet, oldVersion, { newVersion }, start + 1'500ms);
    fleet.written.clear();
    fleet.run(1'500ms, 18s, never);
    BOOST_CHECK(fleet.finalState() == OrderedMoveState::Done);
}

// Guards against a node that starts after the next order and sends calls to a version that was taken back before.
BOOST_AUTO_TEST_CASE(A_node_that_starts_later_learns_the_rejected_versions_from_the_recorded_state)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 8s, always);
    const auto takenBack = fleet.written.back();
    fleet.written.clear();
    fleet.addOrder(orderOf(thirdVersion, 9), start + 8s);
    fleet.run(8s, 9s, never);
    const auto running = fleet.written.back();
    BOOST_REQUIRE(running.state == OrderedMoveState::Running);
    for (const auto& status : { takenBack, running }) {
        OrderedMoves node { NodeName { "n9" }, Incarnation { 1 }, ExposureBound {} };
        node.onStatus(status);
        node.onOrder(orderOf(thirdVersion, 9), 0ms, start + 9s);
        node.tick(start + 9s);
        BOOST_TEST(!isServing(node, newVersion, start + 9s));
        BOOST_TEST(isServing(node, oldVersion, start + 9s));
    }
}

// Guards against a good version that is taken back since the calls of a rejected one were counted for the version in service.
BOOST_AUTO_TEST_CASE(Calls_of_a_rejected_version_are_no_evidence_on_the_next_one)
{
    Fleet fleet { 1 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 8s, always);
    fleet.written.clear();
    fleet.addOrder(orderOf(thirdVersion, 9), start + 8s);
    auto& node = fleet.nodes.front();
    for (int i = 0; i < 100; ++i) {
        node.observe(service, RouteName { "r" }, newVersion, CallResult::Succeeded, 10ms, start + 8s);
        node.observe(service, RouteName { "r" }, thirdVersion, CallResult::Succeeded, 100ms, start + 8s);
    }
    for (auto at = 8s; at < 10s; at += 1s) {
        for (const auto& command : node.tick(start + at))
            BOOST_TEST(!std::holds_alternative<BroadcastNotice>(command));
    }
}

// Guards against a state of an earlier order that a stale writer puts in place of the next order's.
BOOST_AUTO_TEST_CASE(A_state_is_not_written_over_one_of_a_later_order_nor_over_another_end_of_its_own)
{
    const auto statusOf = [](publication::Offset offset, OrderedMoveState state) { return MoveStatus { service, newVersion, offset, state }; };
    BOOST_TEST(!mayReplace(statusOf(9, OrderedMoveState::Running), statusOf(5, OrderedMoveState::TakenBack)));
    BOOST_TEST(!mayReplace(statusOf(orderOfEra(1, 2).offset, OrderedMoveState::Running), statusOf(5, OrderedMoveState::Done)));
    BOOST_TEST(!mayReplace(statusOf(5, OrderedMoveState::Done), statusOf(5, OrderedMoveState::TakenBack)));
    BOOST_TEST(!mayReplace(statusOf(5, OrderedMoveState::Running), statusOf(5, OrderedMoveState::Running)));
    BOOST_TEST(mayReplace(statusOf(5, OrderedMoveState::Running), statusOf(5, OrderedMoveState::Done)));
    BOOST_TEST(mayReplace(statusOf(5, OrderedMoveState::Done), statusOf(9, OrderedMoveState::Running)));
    BOOST_TEST(mayReplace(statusOf(5, OrderedMoveState::Done), statusOf(orderOfEra(1, 2).offset, OrderedMoveState::Done)));
}

BOOST_AUTO_TEST_CASE(A_node_writes_no_state_of_an_order_once_it_has_read_that_of_a_later_one)
{
    OrderedMoves node { NodeName { "n0" }, Incarnation { 1 }, ExposureBound {} };
    node.onOrder(order(5), 0ms, start);
    node.onStatus({ service, thirdVersion, 9, OrderedMoveState::Running });
    for (auto at = 0ms; at < 18s; at += 100ms) {
        for (const auto& command : node.tick(start + at))
            BOOST_TEST(!std::holds_alternative<WriteStatus>(command));
    }
}

BOOST_AUTO_TEST_CASE(A_status_is_that_of_a_replaced_order_once_the_next_one_was_read)
{
    OrderedMoves node { NodeName { "n0" }, Incarnation { 1 }, ExposureBound {} };
    node.onOrder(order(5), 0ms, start);
    const MoveStatus status { service, newVersion, 5, OrderedMoveState::TakenBack };
    BOOST_TEST(node.isCurrent(status));
    node.onOrder(orderOf(thirdVersion, 9), 0ms, start + 1s);
    BOOST_TEST(!node.isCurrent(status));
}

// Guards against a version in service that is rejected since the store tells the state of an earlier order last.
BOOST_AUTO_TEST_CASE(A_state_of_an_earlier_order_that_is_read_last_changes_nothing)
{
    const MoveStatus stale { service, newVersion, 5, OrderedMoveState::TakenBack, { { oldVersion }, {} } };
    const MoveStatus running { service, thirdVersion, 9, OrderedMoveState::Running, { { newVersion }, {} } };
    OrderedMoves follower { NodeName { "n0" }, Incarnation { 1 }, ExposureBound {} };
    follower.onOrder(orderOf(thirdVersion, 9), 0ms, start);
    follower.onStatus(running);
    follower.onStatus(stale);
    OrderedMoves starter { NodeName { "n1" }, Incarnation { 1 }, ExposureBound {} };
    starter.onStatus(running);
    starter.onStatus(stale);
    starter.onOrder(orderOf(thirdVersion, 9), 0ms, start);
    for (auto* node : { &follower, &starter }) {
        node->tick(start);
        BOOST_TEST(isServing(*node, newVersion, start));
    }
}

// Guards against a version whose move was done and that a stale writer records as rejected once the next one is ordered.
BOOST_AUTO_TEST_CASE(The_first_end_of_a_move_that_was_read_holds_for_the_next_one)
{
    OrderedMoves node { NodeName { "n0" }, Incarnation { 1 }, ExposureBound {} };
    node.onOrder(order(5), 0ms, start);
    node.onStatus({ service, newVersion, 5, OrderedMoveState::Done });
    node.onOrder(orderOf(thirdVersion, 9), 0ms, start + 17s);
    node.onStatus({ service, newVersion, 5, OrderedMoveState::TakenBack });
    BOOST_TEST(isServing(node, newVersion, start + 17s));
}

BOOST_AUTO_TEST_CASE(A_state_that_a_stale_writer_replaced_is_written_again)
{
    OrderedMoves node { NodeName { "n0" }, Incarnation { 1 }, ExposureBound {} };
    node.onOrder(orderOf(thirdVersion, 9), 0ms, start);
    node.onStatus({ service, thirdVersion, 9, OrderedMoveState::Running, { { newVersion }, {} } });
    BOOST_TEST(writtenBy(node.tick(start)).empty());
    node.onStatus({ service, newVersion, 5, OrderedMoveState::TakenBack });
    const auto written = writtenBy(node.tick(start + 100ms));
    BOOST_REQUIRE(written.size() == 1U);
    BOOST_TEST(written.front().order == 9U);
    BOOST_CHECK(written.front().state == OrderedMoveState::Running);
    BOOST_CHECK((written.front().versions == ServiceVersions { { newVersion }, {} }));
    node.onStatus(written.front());
    BOOST_TEST(writtenBy(node.tick(start + 10s)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}
