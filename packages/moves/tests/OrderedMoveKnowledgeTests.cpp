#include "OrderedMoveFleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace carobpath::moves::tests {

// Nodes that were paused or restarted, or that missed what others saw of a move.
BOOST_AUTO_TEST_SUITE(OrderedMovesOfNodesThatKnowLess)

BOOST_AUTO_TEST_CASE(A_node_that_was_paused_sends_nothing_to_the_new_version_before_its_next_tick)
{
    OrderedMoves node { NodeName { "n0" }, Incarnation { 1 }, ExposureBound {} };
    node.onOrder(order(), 0ms, start);
    node.tick(start);
    BOOST_TEST(node.trafficSplit(service, start + 1s).nextShare > 0);
    BOOST_TEST(node.trafficSplit(service, start + 5s).nextShare == 0);
}

// Guards against a good version that is taken back since the node that writes first missed the evidence of the load test.
BOOST_AUTO_TEST_CASE(A_node_that_missed_the_evidence_of_the_load_test_gets_it_again_before_all_calls_move)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    const OrderedMovePlan plan { 16s, {} };
    const auto tickAll = [&](std::chrono::milliseconds from, std::chrono::milliseconds to) {
        for (auto at = from; at < to; at += 100ms) {
            for (auto& node : fleet.nodes)
                node.tick(start + at);
        }
    };
    // By then every node has sent its last revision.
    const auto heardUntil = plan.loadTestEnd() + EvidenceTable::s_revisionInterval + 100ms;
    fleet.run(0ms, plan.loadTestEnd(), never);
    tickAll(plan.loadTestEnd(), heardUntil);
    std::vector<EvidenceCursor> heard(fleet.nodes.size());
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i)
        fleet.nodes[i].changedSince(heard[i]);
    tickAll(heardUntil, plan.fullAt());
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
        const auto update = fleet.nodes[i].changedSince(heard[i]);
        BOOST_TEST(std::any_of(update.entries.begin(), update.entries.end(), [](const auto& it) { return it.window == OrderedMoves::s_loadTestWindow; }));
    }
}

// Guards against a node that wakes after the end of a move and rejects its version, since it saw too few calls before the pause.
BOOST_AUTO_TEST_CASE(A_node_that_was_paused_concludes_nothing_from_the_evidence_of_before)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 13s, never);
    auto& node = fleet.nodes.front();
    for (const auto wake : { 17s, 20s }) {
        for (auto at = start + wake; at < start + wake + 1s; at += 100ms)
            BOOST_TEST(finalStatesOf(node.tick(at)).empty());
    }
}

// Guards against a node that knows of no call yet and takes that for a version that got none.
BOOST_AUTO_TEST_CASE(A_node_that_was_restarted_near_the_deadline_waits_for_the_evidence_of_others)
{
    Fleet fleet { 4 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 15'500ms, never);
    OrderedMoves node { NodeName { "n0" }, Incarnation { 2 }, ExposureBound {} };
    node.onOrder(order(), 15'500ms, start + 15'500ms);
    for (auto at = start + 15'500ms; at < start + 16'500ms; at += 100ms)
        BOOST_TEST(finalStatesOf(node.tick(at)).empty());
    EvidenceCursor cursor;
    node.merge(fleet.nodes.back().changedSince(cursor));
    std::vector<OrderedMoveState> states;
    for (auto at = start + 16'500ms; at < start + 18s; at += 100ms) {
        for (const auto state : finalStatesOf(node.tick(at)))
            states.push_back(state);
    }
    BOOST_REQUIRE(!states.empty());
    for (const auto state : states)
        BOOST_CHECK(state == OrderedMoveState::Done);
}

BOOST_AUTO_TEST_CASE(A_version_without_calls_is_taken_back_although_every_node_was_restarted)
{
    OrderedMoves node { NodeName { "n0" }, Incarnation { 2 }, ExposureBound {} };
    node.onOrder(order(), 15'500ms, start + 15'500ms);
    std::vector<OrderedMoveState> states;
    for (auto at = start + 15'500ms; at < start + 18s; at += 100ms) {
        for (const auto state : finalStatesOf(node.tick(at)))
            states.push_back(state);
    }
    BOOST_REQUIRE(!states.empty());
    BOOST_CHECK(states.front() == OrderedMoveState::TakenBack);
}

BOOST_AUTO_TEST_CASE(A_node_that_was_paused_does_not_send_all_calls_to_the_new_version_before_it_hears_of_it)
{
    Fleet fleet { 1 };
    fleet.addOrder(order(), start);
    fleet.run(0ms, 15'600ms, never);
    auto& node = fleet.nodes.front();
    BOOST_REQUIRE(node.trafficSplit(service, start + 15'500ms).nextShare == 1);
    node.tick(start + 18s);
    BOOST_TEST(node.trafficSplit(service, start + 18s).nextShare < 1);
    for (auto at = start + 18'100ms; at < start + 20s; at += 100ms)
        node.tick(at);
    BOOST_TEST(node.trafficSplit(service, start + 20s).nextShare == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}
