#include "carobpath/routing/UpstreamStatistics.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

namespace carobpath::routing {

using namespace std::chrono_literals;

namespace {

    constexpr double meanSeconds = 0.0022;

    UpstreamLoad idleLoad(std::chrono::microseconds serviceTime)
    {
        UpstreamLoad load;
        load.limit = 4;
        load.serviceTime = serviceTime;
        return load;
    }

}

BOOST_AUTO_TEST_SUITE(Upstream_statistics)

// An upstream reported a long service time while it was busy. It is idle since, and the faster ones get all calls, so
// that no answer corrects the report.
BOOST_AUTO_TEST_CASE(A_long_service_time_fades_until_the_upstream_is_tried_again)
{
    UpstreamStatistics busyOnce;
    UpstreamStatistics steady;
    const MonotonicTime start { 1h };
    busyOnce.onLoad(idleLoad(3800us), start);
    steady.onLoad(idleLoad(2200us), start);
    BOOST_TEST(busyOnce.expectedSeconds(meanSeconds, start) > steady.expectedSeconds(meanSeconds, start));

    const auto later = start + UpstreamStatistics::s_latencyHalfLife;
    steady.onLoad(idleLoad(2200us), later);
    BOOST_TEST(busyOnce.expectedSeconds(meanSeconds, later) < steady.expectedSeconds(meanSeconds, later));
}

BOOST_AUTO_TEST_CASE(A_service_time_never_fades_below_half_of_the_mean)
{
    UpstreamStatistics upstream;
    const MonotonicTime start { 1h };
    upstream.onLoad(idleLoad(3800us), start);
    BOOST_TEST(upstream.expectedSeconds(meanSeconds, start + 1h) >= meanSeconds / 2);
}

// The backend servers are equally fast, but the node next to one of them lacks processor time.
BOOST_AUTO_TEST_CASE(An_upstream_whose_node_adds_much_time_is_expected_to_answer_later)
{
    UpstreamStatistics starved;
    UpstreamStatistics other;
    MonotonicTime now { 1h };
    for (int i = 0; i < 20; ++i, now += 100ms) {
        starved.onLoad(idleLoad(2200us), now);
        other.onLoad(idleLoad(2200us), now);
        starved.onFinished(UpstreamSignal::Answered, 50ms, 0ms, now);
        other.onFinished(UpstreamSignal::Answered, 3ms, 0ms, now);
    }
    BOOST_TEST(starved.expectedSeconds(meanSeconds, now) > 4 * other.expectedSeconds(meanSeconds, now));
    const auto later = now + 10 * UpstreamStatistics::s_latencyHalfLife;
    BOOST_TEST(starved.expectedSeconds(meanSeconds, later) < 2 * meanSeconds);
}

BOOST_AUTO_TEST_CASE(A_short_service_time_does_not_grow_with_its_age)
{
    UpstreamStatistics upstream;
    const MonotonicTime start { 1h };
    upstream.onLoad(idleLoad(500us), start);
    BOOST_TEST(upstream.expectedSeconds(meanSeconds, start + 1h) <= 0.0005);
}

BOOST_AUTO_TEST_SUITE_END()

}
