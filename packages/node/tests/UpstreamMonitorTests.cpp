#include "carobpath/node/UpstreamMonitor.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::node {

using namespace std::chrono_literals;

namespace {

    using Verdict = AnnouncementVerdict;

    const MonotonicTime start { 1000s };
    const WallTime wallNow { 1500ms };

    Announcement announcement(membership::UpstreamState state)
    {
        Announcement it;
        it.upstream.service = ServiceName { "booking" };
        it.upstream.version = VersionName { "booking-1" };
        it.upstream.state = state;
        it.backend = Endpoint { "127.0.0.1", 8080 };
        return it;
    }

    Announcement ofRun(std::chrono::milliseconds startedAt, std::uint64_t sequence, membership::UpstreamState state)
    {
        Announcement it = announcement(state);
        it.run = { "i-1", WallTime { startedAt } };
        it.sequence = sequence;
        return it;
    }

}

BOOST_AUTO_TEST_SUITE(UpstreamMonitors)

BOOST_AUTO_TEST_CASE(Only_a_change_is_reported_and_a_repeated_announcement_is_a_heartbeat)
{
    UpstreamMonitor monitor;
    BOOST_CHECK(monitor.onAnnouncement(announcement(membership::UpstreamState::Cold), start) == Verdict::Changed);
    BOOST_CHECK(monitor.onAnnouncement(announcement(membership::UpstreamState::Cold), start + 4s) == Verdict::Unchanged);
    BOOST_CHECK(monitor.onAnnouncement(announcement(membership::UpstreamState::Ready), start + 4s) == Verdict::Changed);
    BOOST_TEST(!monitor.onTick(start + 9s));
}

BOOST_AUTO_TEST_CASE(A_backend_server_whose_heartbeats_stop_is_forgotten_once)
{
    UpstreamMonitor monitor;
    monitor.onAnnouncement(announcement(membership::UpstreamState::Ready), start);
    BOOST_TEST(!monitor.onTick(start + UpstreamMonitor::s_heartbeatTimeout));
    BOOST_TEST(monitor.onTick(start + UpstreamMonitor::s_heartbeatTimeout + 1ms));
    BOOST_TEST(!monitor.announcement().has_value());
    BOOST_TEST(!monitor.onTick(start + 1h));
}

BOOST_AUTO_TEST_CASE(A_backend_server_that_comes_back_is_reported_as_new)
{
    UpstreamMonitor monitor;
    monitor.onAnnouncement(announcement(membership::UpstreamState::Ready), start);
    monitor.onTick(start + 10s);
    BOOST_CHECK(monitor.onAnnouncement(announcement(membership::UpstreamState::Ready), start + 11s) == Verdict::Changed);
}

BOOST_AUTO_TEST_CASE(An_announcement_that_was_overtaken_changes_nothing)
{
    UpstreamMonitor monitor;
    monitor.onAnnouncement(ofRun(2000ms, 7, membership::UpstreamState::Draining), start);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(2000ms, 6, membership::UpstreamState::Ready), start) == Verdict::Late);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(2000ms, 7, membership::UpstreamState::Ready), start) == Verdict::Late);
    BOOST_CHECK(monitor.announcement()->upstream.state == membership::UpstreamState::Draining);
}

BOOST_AUTO_TEST_CASE(What_was_overtaken_stays_so_after_the_heartbeats_have_stopped)
{
    UpstreamMonitor monitor;
    monitor.onAnnouncement(ofRun(2000ms, 7, membership::UpstreamState::Draining), start);
    BOOST_TEST(monitor.onTick(start + 6s));
    BOOST_CHECK(monitor.onAnnouncement(ofRun(2000ms, 6, membership::UpstreamState::Ready), start + 7s) == Verdict::Late);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(1000ms, 90, membership::UpstreamState::Ready), start + 7s) == Verdict::Late);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(2000ms, 8, membership::UpstreamState::Draining), start + 7s) == Verdict::Changed);
}

BOOST_AUTO_TEST_CASE(An_earlier_run_cannot_take_the_place_of_a_later_one)
{
    UpstreamMonitor monitor;
    monitor.onAnnouncement(ofRun(2000ms, 1, membership::UpstreamState::Ready), start);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(1000ms, 90, membership::UpstreamState::Draining), start) == Verdict::Late);
    BOOST_TEST(!monitor.onDeparture({ "i-1", WallTime { 1000ms } }, wallNow));
    BOOST_TEST(monitor.announcement().has_value());
}

BOOST_AUTO_TEST_CASE(A_run_that_starts_again_under_its_name_counts_anew)
{
    UpstreamMonitor monitor;
    monitor.onAnnouncement(ofRun(1000ms, 90, membership::UpstreamState::Draining), start);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(2000ms, 1, membership::UpstreamState::Ready), start) == Verdict::Changed);
}

BOOST_AUTO_TEST_CASE(A_run_that_departed_does_not_come_back)
{
    UpstreamMonitor monitor;
    monitor.onAnnouncement(ofRun(1000ms, 1, membership::UpstreamState::Ready), start);
    BOOST_TEST(monitor.onDeparture({ "i-1", WallTime { 1000ms } }, wallNow));
    BOOST_TEST(!monitor.announcement().has_value());
    BOOST_CHECK(monitor.onAnnouncement(ofRun(1000ms, 2, membership::UpstreamState::Ready), start) == Verdict::Late);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(2000ms, 1, membership::UpstreamState::Ready), start) == Verdict::Changed);
}

BOOST_AUTO_TEST_CASE(A_departure_binds_a_node_that_has_started_since_the_last_announcement)
{
    UpstreamMonitor monitor;
    BOOST_TEST(!monitor.onDeparture({ "i-1", WallTime { 1000ms } }, wallNow));
    BOOST_CHECK(monitor.onAnnouncement(ofRun(1000ms, 12, membership::UpstreamState::Ready), start) == Verdict::Late);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(2000ms, 1, membership::UpstreamState::Ready), start) == Verdict::Changed);
}

BOOST_AUTO_TEST_CASE(A_departure_that_names_no_run_means_what_started_before_it_and_no_other_instance)
{
    UpstreamMonitor monitor;
    BOOST_TEST(!monitor.onDeparture({ "i-1", std::nullopt }, wallNow));
    auto successor = ofRun(1200ms, 1, membership::UpstreamState::Ready);
    successor.run.instance = "i-2";
    BOOST_CHECK(monitor.onAnnouncement(ofRun(1000ms, 12, membership::UpstreamState::Ready), start) == Verdict::Late);
    BOOST_CHECK(monitor.onAnnouncement(successor, start) == Verdict::Changed);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(1600ms, 1, membership::UpstreamState::Ready), start) == Verdict::Changed);
}

BOOST_AUTO_TEST_CASE(A_departure_that_was_overtaken_says_nothing_of_the_run_that_is_held)
{
    UpstreamMonitor monitor;
    monitor.onAnnouncement(ofRun(2000ms, 1, membership::UpstreamState::Ready), start);
    BOOST_TEST(!monitor.onDeparture({ "i-0", WallTime { 1000ms } }, wallNow));
    BOOST_CHECK(monitor.onAnnouncement(ofRun(2000ms, 2, membership::UpstreamState::Ready), start) == Verdict::Unchanged);
}

BOOST_AUTO_TEST_CASE(Only_the_backend_server_beside_the_node_is_taken)
{
    UpstreamMonitor monitor { ExpectedBackend { ServiceName { "booking" }, Endpoint { "127.0.0.1", 8080 } } };
    auto other = announcement(membership::UpstreamState::Ready);
    other.backend.port = 8081;
    BOOST_CHECK(monitor.onAnnouncement(other, start) == Verdict::Foreign);
    other = announcement(membership::UpstreamState::Ready);
    other.upstream.service = ServiceName { "reports" };
    BOOST_CHECK(monitor.onAnnouncement(other, start) == Verdict::Foreign);
    BOOST_CHECK(monitor.onAnnouncement(announcement(membership::UpstreamState::Ready), start) == Verdict::Changed);
}

BOOST_AUTO_TEST_CASE(A_run_that_may_have_left_before_the_node_started_is_held_until_the_departures_are_known)
{
    UpstreamMonitor monitor;
    monitor.awaitDepartures(start, wallNow);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(1000ms, 2, membership::UpstreamState::Ready), start) == Verdict::Held);
    BOOST_TEST(!monitor.announcement().has_value());
    BOOST_TEST(monitor.onDepartures({ { "i-0", WallTime { 1000ms } } }, start + 10ms));
    BOOST_TEST(monitor.announcement()->run.instance == "i-1");
    BOOST_CHECK(monitor.onAnnouncement(ofRun(1000ms, 3, membership::UpstreamState::Ready), start) == Verdict::Unchanged);
}

// Guards against a late announcement that revives a run whose leaving was acknowledged before the node's restart.
BOOST_AUTO_TEST_CASE(A_run_that_left_before_the_node_started_may_only_say_that_it_drains)
{
    UpstreamMonitor monitor;
    monitor.awaitDepartures(start, wallNow);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(1000ms, 2, membership::UpstreamState::Ready), start) == Verdict::Held);
    BOOST_TEST(!monitor.onDepartures({ { "i-1", WallTime { 1000ms } } }, start + 10ms));
    BOOST_CHECK(monitor.onAnnouncement(ofRun(1000ms, 3, membership::UpstreamState::Ready), start) == Verdict::Late);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(900ms, 3, membership::UpstreamState::Ready), start) == Verdict::Late);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(1000ms, 4, membership::UpstreamState::Draining), start) == Verdict::Changed);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(1000ms, 5, membership::UpstreamState::Ready), start) == Verdict::Late);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(1100ms, 1, membership::UpstreamState::Ready), start) == Verdict::Changed);
}

BOOST_AUTO_TEST_CASE(A_run_that_started_after_the_node_is_taken_while_the_departures_are_unknown)
{
    UpstreamMonitor monitor;
    monitor.awaitDepartures(start, wallNow);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(2000ms, 1, membership::UpstreamState::Ready), start) == Verdict::Changed);
}

BOOST_AUTO_TEST_CASE(A_held_run_is_taken_after_a_time_and_forgotten_if_its_departure_becomes_known_later)
{
    UpstreamMonitor monitor;
    monitor.awaitDepartures(start, wallNow);
    monitor.onAnnouncement(ofRun(1000ms, 2, membership::UpstreamState::Ready), start);
    BOOST_TEST(!monitor.takeHeld(start + UpstreamMonitor::s_departuresTimeout - 1ms));
    BOOST_TEST(monitor.takeHeld(start + UpstreamMonitor::s_departuresTimeout));
    BOOST_TEST(monitor.announcement().has_value());
    BOOST_TEST(monitor.onDepartures({ { "i-1", WallTime { 1000ms } } }, start + 3s));
    BOOST_TEST(!monitor.announcement().has_value());
}

BOOST_AUTO_TEST_CASE(A_held_run_that_departs_is_not_taken)
{
    UpstreamMonitor monitor;
    monitor.awaitDepartures(start, wallNow);
    monitor.onAnnouncement(ofRun(1000ms, 2, membership::UpstreamState::Ready), start);
    monitor.onDeparture({ "i-1", WallTime { 1000ms } }, wallNow);
    BOOST_TEST(!monitor.onDepartures({}, start + 10ms));
    BOOST_CHECK(monitor.onAnnouncement(ofRun(1000ms, 3, membership::UpstreamState::Ready), start) == Verdict::Late);
}

BOOST_AUTO_TEST_CASE(A_held_announcement_is_not_replaced_by_one_that_it_has_overtaken)
{
    UpstreamMonitor monitor;
    monitor.awaitDepartures(start, wallNow);
    monitor.onAnnouncement(ofRun(1000ms, 5, membership::UpstreamState::Ready), start);
    BOOST_CHECK(monitor.onAnnouncement(ofRun(1000ms, 4, membership::UpstreamState::Cold), start) == Verdict::Late);
    BOOST_TEST(monitor.onDepartures({}, start));
    BOOST_CHECK(monitor.announcement()->upstream.state == membership::UpstreamState::Ready);
}

BOOST_AUTO_TEST_SUITE_END()

}
