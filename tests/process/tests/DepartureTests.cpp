#include "Eventually.h"
#include "FleetPair.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace carobpath::harness;
using namespace std::chrono_literals;

namespace {

/// Time in which a late announcement would have brought calls.
constexpr auto callBound = 1s;
constexpr auto callInterval = 50ms;
/// A node that cannot learn what has left takes what is announced.
constexpr auto unknownBound = 3s;

struct DepartingServer : FleetPair {
    std::uint64_t calls = 0;

    DepartingServer()
    {
        serve();
        BOOST_TEST(a.announce("i-a", "ready", 1) == 200U);
        awaitServed();
    }

    bool isServed() { return call(b.outbound(), fleetRequest("/shop/1", "c-" + std::to_string(++calls))).status == 200; }

    void awaitServed()
    {
        eventually("calls are served", [&] { return isServed(); });
    }

    static void restart(FleetNode& node)
    {
        node.restart();
        eventually("the node is ready", [&] { return node.readiness() == 200; });
    }

    /// A ready announcement of the first run arrives at node a; no call may come of it.
    void checkLateAnnouncementIsRefused(std::uint64_t sequence)
    {
        const auto before = runs();
        BOOST_TEST(a.announce("i-a", "ready", sequence) == 409U);
        for (auto waited = 0ms; waited < callBound; waited += callInterval) {
            isServed();
            std::this_thread::sleep_for(callInterval);
        }
        BOOST_TEST(runs() == before);
    }
};

}

BOOST_FIXTURE_TEST_SUITE(Departures, DepartingServer)

// Guards against a late announcement that brings back a backend server whose leaving was acknowledged before the node's restart.
BOOST_AUTO_TEST_CASE(A_departure_that_was_acknowledged_binds_the_node_after_its_restart)
{
    BOOST_TEST(a.depart("i-a") == 200U);
    restart(a);
    checkLateAnnouncementIsRefused(2);
}

BOOST_AUTO_TEST_CASE(A_departure_binds_after_two_restarts_and_the_loss_of_all_processes)
{
    BOOST_TEST(a.depart("i-a") == 200U);
    a.process().kill();
    b.process().kill();
    restart(a);
    restart(b);
    restart(a);
    checkLateAnnouncementIsRefused(2);
}

BOOST_AUTO_TEST_CASE(Draining_that_was_acknowledged_binds_the_node_after_its_restart)
{
    BOOST_TEST(a.announce("i-a", "draining", 3) == 200U);
    restart(a);
    checkLateAnnouncementIsRefused(2);
    BOOST_TEST(a.announce("i-a", "draining", 4) == 200U);
    checkLateAnnouncementIsRefused(5);
}

BOOST_AUTO_TEST_CASE(A_departure_that_another_node_acknowledged_binds_the_node_after_its_restart)
{
    BOOST_TEST(b.depart("i-a") == 200U);
    restart(a);
    checkLateAnnouncementIsRefused(2);
}

BOOST_AUTO_TEST_CASE(A_departure_that_was_acknowledged_while_the_store_was_away_is_written_once_it_is_back)
{
    store.set(R"({"down": true})");
    BOOST_TEST(a.depart("i-a") == 200U);
    store.set(R"({"down": false})");
    a.process().waitForEvent("departure-recorded");
    restart(a);
    checkLateAnnouncementIsRefused(2);
}

BOOST_AUTO_TEST_CASE(A_departure_is_written_again_when_the_store_has_lost_it)
{
    BOOST_TEST(a.depart("i-a") == 200U);
    const auto recordedAgain = [&] { return a.process().events("departure-recorded").size() == 2; };
    store.set(R"({"comeBackFromCopyMs": 60000})");
    eventually("the departure is written again", recordedAgain);
    putOrder(store.endpoint(), "config", fleetConfiguration);
    restart(a);
    checkLateAnnouncementIsRefused(2);
}

BOOST_AUTO_TEST_CASE(A_later_run_of_the_same_name_serves_at_once)
{
    BOOST_TEST(a.depart("i-a") == 200U);
    restart(a);
    BOOST_TEST(a.announce("i-a", "ready", 1, FleetNode::s_firstRun + 1) == 200U);
    eventually(
        "calls are served", [&] { return isServed(); }, callBound);
}

BOOST_AUTO_TEST_CASE(A_backend_server_that_has_not_left_serves_at_once_after_the_restart_of_its_node)
{
    restart(a);
    BOOST_TEST(a.announce("i-a", "ready", 2) == 200U);
    eventually(
        "calls are served", [&] { return isServed(); }, callBound);
}

BOOST_AUTO_TEST_CASE(A_node_that_starts_while_the_store_is_away_serves_all_the_same)
{
    store.set(R"({"down": true})");
    a.restart();
    BOOST_TEST(a.announce("i-a", "ready", 2) == 200U);
    eventually(
        "calls are served", [&] { return isServed(); }, unknownBound);
    store.set(R"({"down": false})");
}

BOOST_AUTO_TEST_SUITE_END()
