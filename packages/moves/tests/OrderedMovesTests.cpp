#include "OrderedMoveFleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace carobpath::moves::tests {

BOOST_AUTO_TEST_SUITE(OrderedMoveDecisions)

BOOST_AUTO_TEST_CASE(A_move_to_a_good_version_completes_before_the_deadline)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 15'900ms, never);
    BOOST_CHECK(fleet.finalState() == OrderedMoveState::Done);
    const auto share = fleet.nodes.front().trafficSplit(service, start + 15'900ms);
    BOOST_TEST(share.current.value() == "v2");
    BOOST_TEST(!share.next.has_value());
}

BOOST_AUTO_TEST_CASE(A_version_that_fails_is_taken_back_and_gets_no_more_calls)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 8s, always);
    BOOST_CHECK(fleet.finalState() == OrderedMoveState::TakenBack);
    BOOST_TEST(fleet.nodes.back().trafficSplit(service, start + 8s).nextShare == 0);
    BOOST_TEST(fleet.harmed < 50);
}

BOOST_AUTO_TEST_CASE(Latency_of_cold_servers_is_not_counted_against_their_version)
{
    Fleet fleet { 1 };
    fleet.addOrder(order(), start);
    auto& node = fleet.nodes.front();
    for (int i = 0; i < 20; ++i) {
        node.observe(service, RouteName { "r" }, oldVersion, CallResult::Succeeded, 100ms, start);
        node.observe(service, RouteName { "r" }, newVersion, CallResult::Succeeded, std::nullopt, start);
    }
    fleet.run(0ms, 2s, never);
    BOOST_CHECK(!fleet.finalState());
    for (int i = 0; i < 20; ++i)
        node.observe(service, RouteName { "r" }, newVersion, CallResult::Succeeded, 800ms, start + 2s);
    fleet.run(2s, 3s, never);
    BOOST_CHECK(fleet.finalState() == OrderedMoveState::TakenBack);
}

BOOST_AUTO_TEST_CASE(A_version_that_fails_only_under_full_load_is_taken_back_before_the_verdict)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 16s, [](double share) { return share > 0.5; });
    BOOST_CHECK(fleet.finalState() == OrderedMoveState::TakenBack);
}

BOOST_AUTO_TEST_CASE(All_nodes_load_test_the_same_instance_before_the_new_version_takes_all_calls)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    for (auto& node : fleet.nodes)
        node.onUpstreams({ { service, newVersion, NodeName { "u1" } }, { service, newVersion, NodeName { "u2" } }, { service, oldVersion, NodeName { "u3" } } });
    const OrderedMovePlan plan { 16s, {} };
    fleet.run(0ms, plan.loadTestStart() + 300ms, never);
    const auto now = start + plan.loadTestStart() + 200ms;
    const auto loadTestNode = fleet.nodes.front().trafficSplit(service, now).loadTestNode;
    BOOST_TEST(!loadTestNode.empty());
    BOOST_TEST(loadTestNode.value() != "u3");
    for (const auto& node : fleet.nodes)
        BOOST_TEST(node.trafficSplit(service, now).loadTestNode == loadTestNode);
    BOOST_TEST(fleet.nodes.front().trafficSplit(service, start + 5s).loadTestNode.empty());
}

BOOST_AUTO_TEST_CASE(A_version_whose_servers_refuse_most_calls_counts_as_untested_under_load_and_is_taken_back)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    for (auto at = 0ms; at < 17s; at += 100ms) {
        fleet.tick(start + at, never);
        if (at > 10s)
            fleet.nodes.front().observe(service, RouteName { "r" }, newVersion, CallResult::Refused, 1ms, start + at);
    }
    BOOST_CHECK(fleet.finalState() == OrderedMoveState::TakenBack);
}

BOOST_AUTO_TEST_CASE(A_move_to_a_good_version_completes_although_evidence_is_delayed_by_more_than_a_second)
{
    Fleet fleet { 4 };
    fleet.evidenceDelay = 1'300ms;
    fleet.addOrder(order(), start);
    fleet.run(0ms, 15'900ms, never);
    BOOST_CHECK(fleet.finalState() == OrderedMoveState::Done);
}

BOOST_AUTO_TEST_CASE(A_move_does_not_complete_before_the_evidence_of_the_load_test_has_arrived)
{
    // Three refusals are added in each tick of the load test, which is about half of the calls to the instance.
    Fleet fleet { 4 };
    fleet.evidenceDelay = 1'300ms;
    fleet.addOrder(order(), start);
    const OrderedMovePlan plan { 16s, {} };
    for (auto at = 0ms; at < 17s; at += 100ms) {
        fleet.tick(start + at, never);
        const bool isRefusing = at >= plan.loadTestStart() && at < plan.loadTestEnd();
        for (int i = 0; isRefusing && i < 3; ++i)
            fleet.nodes.back().observe(service, RouteName { "r" }, newVersion, CallResult::Refused, 1ms, start + at);
    }
    BOOST_CHECK(fleet.finalState() == OrderedMoveState::TakenBack);
}

BOOST_AUTO_TEST_CASE(A_move_does_not_complete_if_the_load_test_had_no_calls)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    const OrderedMovePlan plan { 16s, {} };
    fleet.run(0ms, plan.loadTestStart(), never);
    for (auto at = plan.loadTestStart(); at < plan.loadTestEnd(); at += 100ms) {
        for (auto& node : fleet.nodes)
            node.tick(start + at);
    }
    fleet.run(plan.loadTestEnd(), plan.deadline(), never);
    BOOST_CHECK(fleet.finalState() == OrderedMoveState::TakenBack);
}

BOOST_AUTO_TEST_CASE(A_move_to_a_version_without_calls_does_not_complete)
{
    Fleet fleet { 1 };
    fleet.addOrder(order(), start);
    for (auto at = 0ms; at < 17s; at += 100ms) {
        for (const auto& command : fleet.nodes.front().tick(start + at)) {
            if (const auto* it = std::get_if<WriteStatus>(&command))
                fleet.write(it->status);
        }
    }
    BOOST_CHECK(fleet.finalState() == OrderedMoveState::TakenBack);
}

BOOST_AUTO_TEST_CASE(A_final_state_is_written_once_the_store_is_available_again)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    fleet.isStoreDown = true;
    fleet.run(0ms, 18s, always);
    BOOST_CHECK(!fleet.finalState());
    fleet.isStoreDown = false;
    fleet.run(18s, 20s, always);
    BOOST_CHECK(fleet.finalState() == OrderedMoveState::TakenBack);
}

BOOST_AUTO_TEST_CASE(A_restarted_node_adopts_the_recorded_final_state)
{
    OrderedMoves node { NodeName { "n0" }, Incarnation { 2 }, ExposureBound {} };
    node.onStatus({ service, newVersion, 5, OrderedMoveState::TakenBack });
    node.onOrder(order(), 12s, start);
    node.tick(start);
    BOOST_TEST(node.trafficSplit(service, start).nextShare == 0);
    BOOST_TEST(!node.hasUnfinishedMove());
}

BOOST_AUTO_TEST_CASE(A_version_gets_no_calls_while_its_state_in_the_store_is_unknown)
{
    OrderedMoves node { NodeName { "n0" }, Incarnation { 2 }, ExposureBound {} };
    node.addPendingOrder(order());
    node.tick(start);
    const auto share = node.trafficSplit(service, start);
    BOOST_TEST(share.next.value().value() == "v2");
    BOOST_TEST(share.nextShare == 0);
    node.onOrder(order(), 0ms, start);
    BOOST_TEST(node.trafficSplit(service, start).nextShare > 0);
}

BOOST_AUTO_TEST_CASE(A_later_order_for_the_service_starts_a_new_move)
{
    Fleet fleet { 2 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 8s, always);
    fleet.written.clear();
    for (auto& node : fleet.nodes)
        node.onOrder(order(9), 0ms, start + 20s);
    fleet.run(20s, 36s, never);
    BOOST_CHECK(fleet.finalState() == OrderedMoveState::Done);
}

BOOST_AUTO_TEST_CASE(A_move_that_was_taken_back_does_not_come_back_when_its_order_is_written_again)
{
    for (const publication::Offset offset : { 3U, 5U, 9U }) {
        Fleet fleet { 4 };
        fleet.addOrder(order(), start);
        fleet.run(0ms, 8s, always);
        BOOST_REQUIRE(fleet.finalState() == OrderedMoveState::TakenBack);
        const auto harmed = fleet.harmed;
        fleet.written.clear();
        fleet.addOrder(orderOfEra(1, offset), start + 10s);
        fleet.run(10s, 40s, always);
        BOOST_TEST(fleet.harmed == harmed);
        BOOST_REQUIRE(fleet.written.size() == 1U);
        BOOST_CHECK(fleet.written.front().state == OrderedMoveState::TakenBack);
        BOOST_TEST(fleet.written.front().order == orderOfEra(1, offset).offset);
    }
}

BOOST_AUTO_TEST_CASE(A_completed_move_stays_completed_over_two_returns_of_the_store)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 16s, never);
    for (const std::uint64_t era : { 1U, 2U }) {
        const auto at = start + 20s * era;
        fleet.written.clear();
        fleet.addOrder(orderOfEra(era, 2), at);
        fleet.run(20s * era, 20s * era + 5s, never);
        BOOST_CHECK(fleet.finalState() == OrderedMoveState::Done);
        BOOST_TEST(fleet.written.size() == 1U);
        BOOST_TEST(fleet.nodes.back().trafficSplit(service, at + 5s).current.value() == "v2");
    }
}

BOOST_AUTO_TEST_CASE(A_state_that_was_recorded_is_written_by_few_of_a_large_fleet)
{
    Fleet fleet { 60 };
    fleet.addOrder(order(), start);
    for (auto& node : fleet.nodes)
        node.onStatus({ service, newVersion, 5, OrderedMoveState::Done });
    fleet.addOrder(orderOfEra(1, 2), start + 20s);
    std::size_t requests = 0;
    for (auto at = start + 20s; at < start + 21s; at += 100ms) {
        for (auto& node : fleet.nodes) {
            const auto commands = node.tick(at);
            requests += static_cast<std::size_t>(std::count_if(commands.begin(), commands.end(), [](const auto& it) { return std::holds_alternative<WriteStatus>(it); }));
        }
    }
    BOOST_TEST(requests > 0U);
    BOOST_TEST(requests < 15U);
}

BOOST_AUTO_TEST_CASE(A_move_that_is_running_goes_on_when_the_store_comes_back)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 8s, never);
    fleet.written.clear();
    fleet.addOrder(orderOfEra(1, 2), start + 8s);
    fleet.run(8s, 15'900ms, never);
    BOOST_CHECK(fleet.finalState() == OrderedMoveState::Done);
    BOOST_CHECK(fleet.written.front().state == OrderedMoveState::Running);
}

BOOST_AUTO_TEST_CASE(A_version_that_fails_after_the_return_of_the_store_is_taken_back)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 8s, never);
    fleet.addOrder(orderOfEra(1, 2), start + 8s);
    fleet.run(8s, 17s, always);
    BOOST_CHECK(fleet.finalState() == OrderedMoveState::TakenBack);
}

BOOST_AUTO_TEST_CASE(A_finding_of_nodes_that_read_the_store_holds_where_others_know_only_the_earlier_era)
{
    Fleet fleet { 6 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 8s, never);
    for (std::size_t i = 0; i < 4; ++i)
        fleet.nodes[i].onOrder(orderOfEra(1, 2), 0ms, start + 8s);
    fleet.run(8s, 12s, always);
    for (std::size_t i = 4; i < 6; ++i)
        fleet.nodes[i].onOrder(orderOfEra(1, 2), 0ms, start + 12s);
    fleet.run(12s, 12'500ms, always);
    for (const auto& node : fleet.nodes)
        BOOST_TEST(node.trafficSplit(service, start + 12'500ms).nextShare == 0);
}

BOOST_AUTO_TEST_CASE(An_order_that_was_replaced_does_not_come_back_from_a_copy)
{
    OrderedMoves node { NodeName { "n0" }, Incarnation { 1 }, ExposureBound {} };
    node.onOrder(order(5), 0ms, start);
    const VersionName third { "v3" };
    node.onOrder({ service, third, 16s, 7 }, 0ms, start + 20s);
    node.tick(start + 21s);
    node.onOrder(orderOfEra(1, 5), 0ms, start + 21s);
    BOOST_TEST(node.trafficSplit(service, start + 21s).next.value() == third);
    node.onOrder({ service, third, 16s, publication::pack({ { 1 }, 6 }) }, 0ms, start + 22s);
    BOOST_TEST(node.trafficSplit(service, start + 22s).next.value() == third);
    node.onOrder(orderOfEra(1, 8), 0ms, start + 22s);
    BOOST_TEST(node.trafficSplit(service, start + 22s).next.value() == newVersion);
}

BOOST_AUTO_TEST_CASE(An_order_that_is_given_after_the_return_of_the_store_starts_a_new_move)
{
    Fleet fleet { 2 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 8s, always);
    fleet.addOrder(orderOfEra(1, 3), start + 10s);
    fleet.written.clear();
    fleet.run(10s, 12s, never);
    fleet.written.clear();
    fleet.addOrder(orderOfEra(1, 4), start + 20s);
    fleet.run(20s, 36s, never);
    BOOST_CHECK(fleet.finalState() == OrderedMoveState::Done);
}

BOOST_AUTO_TEST_CASE(A_node_that_starts_after_the_return_takes_the_state_that_was_recorded_before)
{
    OrderedMoves node { NodeName { "n0" }, Incarnation { 2 }, ExposureBound {} };
    node.onStatus({ service, newVersion, 5, OrderedMoveState::TakenBack });
    node.onOrder(orderOfEra(1, 7), 12s, start);
    node.tick(start);
    BOOST_TEST(node.trafficSplit(service, start).nextShare == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}
