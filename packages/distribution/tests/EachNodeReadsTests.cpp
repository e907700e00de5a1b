#include "Fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace carobpath::distribution {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// Nodes that know each other and may all read the log. Counts the deltas and snapshots that they send.
    struct ReadingFleet {
        static constexpr std::size_t s_nodes = 14;

        std::size_t deltas = 0;
        std::size_t largestDelta = 0;
        std::size_t snapshots = 0;
        /// Snapshots that contain a configuration.
        std::size_t configurations = 0;
        Fleet fleet;

        explicit ReadingFleet(bool eachNodeReads)
            : fleet(optionsOf(eachNodeReads))
        {
            fleet.publish();
            fleet.startAll();
            BOOST_REQUIRE(fleet.runUntil([&] { return fleet.allKnow(s_nodes) && fleet.allServe(0); }, seconds { 60 }).has_value());
            fleet.run(seconds { 5 });
            deltas = 0;
            largestDelta = 0;
            snapshots = 0;
        }

        FleetOptions optionsOf(bool eachNodeReads)
        {
            FleetOptions options;
            options.nodes = s_nodes;
            options.services = 40;
            options.routesPerService = 30;
            options.eachNodeReads = eachNodeReads;
            options.sizeOf = [this](const PeerMessage& it) {
                deltas += it.delta ? 1 : 0;
                largestDelta = std::max(largestDelta, it.delta ? encodedSize(*it.delta) : 0);
                return std::size_t { 0 };
            };
            options.sizeOfSnapshot = [this](const StateSnapshot& it) {
                ++snapshots;
                configurations += it.configuration ? 1 : 0;
                return std::size_t { 0 };
            };
            return options;
        }
    };

}

BOOST_AUTO_TEST_SUITE(Where_each_node_reads_the_configuration)

BOOST_AUTO_TEST_CASE(Only_what_has_changed_is_sent_to_a_peer)
{
    constexpr std::size_t oneRoute = 1024;
    ReadingFleet each { true };
    each.fleet.publish();
    for (std::size_t i = 0; i < ReadingFleet::s_nodes; ++i)
        each.fleet.readOnce(i);
    each.fleet.run(seconds { 5 });
    BOOST_TEST(each.fleet.allServe(1));
    BOOST_TEST(each.deltas > 0U);
    BOOST_TEST(each.largestDelta <= oneRoute);
    BOOST_TEST(each.snapshots == 0U);
}

BOOST_AUTO_TEST_CASE(A_change_of_the_whole_set_is_not_sent_to_a_peer)
{
    ReadingFleet each { true };
    ReadingFleet some { false };
    for (auto* it : { &each, &some }) {
        it->fleet.publishWholeChange();
        for (std::size_t i = 0; i < ReadingFleet::s_nodes; ++i)
            it->fleet.readOnce(i);
        it->fleet.run(seconds { 5 });
        BOOST_TEST(it->fleet.allServe(1));
    }
    BOOST_TEST(each.deltas == 0U);
    BOOST_TEST(each.snapshots == 0U);
    BOOST_TEST(some.deltas > 0U);
}

BOOST_AUTO_TEST_CASE(A_small_change_that_one_node_has_read_is_in_force_everywhere_in_half_a_second)
{
    ReadingFleet each { true };
    each.fleet.publish();
    each.fleet.readOnce(5);
    BOOST_TEST(each.fleet.runUntil([&] { return each.fleet.allServe(1); }, milliseconds { 500 }).has_value());
    BOOST_TEST(each.snapshots == 0U);
}

BOOST_AUTO_TEST_CASE(Nodes_that_read_versions_up_to_a_second_apart_fetch_none_from_peers)
{
    ReadingFleet each { true };
    for (int version = 1; version <= 20; ++version) {
        each.fleet.publish();
        each.fleet.run(milliseconds { 200 });
        // A fifth of the nodes reads in each step, so that each node reads once a second.
        for (auto i = static_cast<std::size_t>(version % 5); i < ReadingFleet::s_nodes; i += 5)
            each.fleet.readOnce(i);
    }
    each.fleet.run(milliseconds { 500 });
    BOOST_TEST(each.snapshots == 0U);
}

BOOST_AUTO_TEST_CASE(A_joining_node_fetches_a_snapshot_without_the_configuration)
{
    ReadingFleet each { true };
    each.fleet.kill(3);
    each.fleet.run(seconds { 1 });
    each.configurations = 0;
    each.fleet.start(3);
    each.fleet.run(milliseconds { 300 });
    each.fleet.readOnce(3);
    BOOST_TEST(each.fleet.runUntil([&] { return each.fleet.allKnow(ReadingFleet::s_nodes) && each.fleet.allServe(0); }, seconds { 3 }).has_value());
    BOOST_TEST(each.snapshots > 0U);
    BOOST_TEST(each.configurations == 0U);
}

BOOST_AUTO_TEST_CASE(A_joining_node_that_cannot_read_gets_the_configuration_from_a_peer)
{
    ReadingFleet each { true };
    each.fleet.kill(3);
    each.fleet.run(seconds { 1 });
    each.fleet.start(3);
    BOOST_TEST(each.fleet.runUntil([&] { return each.fleet.allServe(0); }, seconds { 4 }).has_value());
}

BOOST_AUTO_TEST_CASE(A_node_whose_read_is_late_gets_it_from_a_peer_within_two_seconds)
{
    ReadingFleet each { true };
    each.fleet.publish();
    for (std::size_t i = 1; i < ReadingFleet::s_nodes; ++i)
        each.fleet.readOnce(i);
    BOOST_TEST(each.fleet.runUntil([&] { return each.fleet.allServe(1); }, seconds { 2 }).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}
