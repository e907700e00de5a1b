#include "carobpath/node/UpstreamMonitor.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::node {

using namespace std::chrono_literals;

namespace {

    const MonotonicTime start { 1000s };

    Announcement announcement(membership::UpstreamState state)
    {
        Announcement it;
        it.upstream.service = ServiceName { "booking" };
        it.upstream.version = VersionName { "booking-1" };
        it.upstream.state = state;
        it.backend = Endpoint { "127.0.0.1", 8080 };
        return it;
    }

}

BOOST_AUTO_TEST_SUITE(UpstreamMonitors)

BOOST_AUTO_TEST_CASE(Only_a_change_is_reported_and_a_repeated_announcement_is_a_heartbeat)
{
    UpstreamMonitor monitor;
    BOOST_TEST(monitor.onAnnouncement(announcement(membership::UpstreamState::Cold), start));
    BOOST_TEST(!monitor.onAnnouncement(announcement(membership::UpstreamState::Cold), start + 4s));
    BOOST_TEST(monitor.onAnnouncement(announcement(membership::UpstreamState::Ready), start + 4s));
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
    BOOST_TEST(monitor.onAnnouncement(announcement(membership::UpstreamState::Ready), start + 11s));
}

BOOST_AUTO_TEST_SUITE_END()

}
