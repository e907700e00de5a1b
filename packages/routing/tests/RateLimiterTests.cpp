#include "carobpath/routing/RateLimiter.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

using namespace std::chrono_literals;

namespace {

    struct LimiterFixture {
        RateLimiter limiter;
        MonotonicTime now { 1000s };

        /// Sends every call that is allowed, looking each 10 ms. \returns their number.
        int callsWithin(MonotonicClock::duration time)
        {
            int calls = 0;
            for (const auto end = now + time; now < end; now += 10ms) {
                for (; limiter.allows(now); ++calls)
                    limiter.onCall(now);
            }
            return calls;
        }
    };

}

BOOST_FIXTURE_TEST_SUITE(Rate_limiter, LimiterFixture)

BOOST_AUTO_TEST_CASE(Without_a_limit_every_call_is_allowed)
{
    for (int i = 0; i < 1000; ++i) {
        BOOST_REQUIRE(limiter.allows(now));
        limiter.onCall(now);
    }
    BOOST_TEST(limiter.untilAllowed(100, now).count() == 0);
}

BOOST_AUTO_TEST_CASE(Calls_keep_to_the_rate)
{
    for (const double rate : { 0.3, 1.0, 2.5, 8.0, 60.0 }) {
        limiter.setRate(rate, now);
        const auto calls = callsWithin(20s);
        BOOST_TEST(calls <= rate * 20);
        BOOST_TEST(calls >= rate * 20 * 0.9 - 1);
    }
}

BOOST_AUTO_TEST_CASE(A_pause_is_followed_by_no_more_than_a_short_burst)
{
    limiter.setRate(8, now);
    now += 60s;
    BOOST_TEST(callsWithin(10ms) == 4);
}

BOOST_AUTO_TEST_CASE(A_server_that_takes_no_calls_is_called_at_times)
{
    limiter.setRate(0, now);
    const auto calls = callsWithin(20s);
    BOOST_TEST(calls >= 2);
    BOOST_TEST(calls <= 4);
}

BOOST_AUTO_TEST_CASE(A_limit_that_falls_leaves_no_burst_of_the_rate_before)
{
    limiter.setRate(100, now);
    now += 10s;
    limiter.setRate(1, now);
    BOOST_TEST(callsWithin(4s) <= 5);
}

BOOST_AUTO_TEST_CASE(A_limit_that_is_named_again_with_each_answer_gives_no_further_tokens)
{
    limiter.setRate(2, now);
    int calls = 0;
    for (const auto end = now + 10s; now < end; now += 10ms) {
        limiter.setRate(2, now);
        for (; limiter.allows(now); ++calls)
            limiter.onCall(now);
    }
    BOOST_TEST(calls <= 20);
}

BOOST_AUTO_TEST_CASE(The_wait_of_a_call_counts_the_calls_ahead_of_it)
{
    limiter.setRate(4, now);
    BOOST_TEST(limiter.untilAllowed(0, now) / 1ms == 250);
    BOOST_TEST(limiter.untilAllowed(3, now) / 1ms == 1000);
}

BOOST_AUTO_TEST_SUITE_END()

}
