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

    membership::UpstreamState stateAt(const UpstreamMonitor& monitor, MonotonicTime now)
    {
        return monitor.upstream(now).value().state;
    }

}

BOOST_AUTO_TEST_SUITE(UpstreamMonitors)

BOOST_AUTO_TEST_CASE(Nothing_is_told_before_the_first_announcement)
{
    BOOST_TEST(!UpstreamMonitor {}.upstream(start));
}

BOOST_AUTO_TEST_CASE(A_backend_server_whose_heartbeats_stop_is_down)
{
    UpstreamMonitor monitor;
    monitor.onAnnouncement(announcement(membership::UpstreamState::Ready), start);
    BOOST_TEST((stateAt(monitor, start + UpstreamMonitor::s_heartbeatTimeout) == membership::UpstreamState::Ready));
    BOOST_TEST((stateAt(monitor, start + UpstreamMonitor::s_heartbeatTimeout + 1ms) == membership::UpstreamState::Down));
}

BOOST_AUTO_TEST_CASE(Heartbeats_alone_do_not_bring_a_backend_server_up_that_refuses_connections)
{
    UpstreamMonitor monitor;
    monitor.onAnnouncement(announcement(membership::UpstreamState::Ready), start);
    monitor.onConnectFailed(start);
    BOOST_TEST((stateAt(monitor, start) == membership::UpstreamState::Ready));
    monitor.onConnectFailed(start);
    monitor.onAnnouncement(announcement(membership::UpstreamState::Ready), start + 1s);
    BOOST_TEST((stateAt(monitor, start + 1s) == membership::UpstreamState::Down));
    BOOST_TEST((stateAt(monitor, start + UpstreamMonitor::s_downTime) == membership::UpstreamState::Ready));
}

BOOST_AUTO_TEST_CASE(An_answer_clears_earlier_connection_failures)
{
    UpstreamMonitor monitor;
    monitor.onAnnouncement(announcement(membership::UpstreamState::Ready), start);
    monitor.onConnectFailed(start);
    monitor.onAnswered();
    monitor.onConnectFailed(start);
    BOOST_TEST((stateAt(monitor, start) == membership::UpstreamState::Ready));
}

BOOST_AUTO_TEST_SUITE_END()

}
