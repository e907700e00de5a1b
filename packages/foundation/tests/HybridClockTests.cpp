#include "carobpath/foundation/HybridClock.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace carobpath;
using namespace std::chrono_literals;

namespace {

constexpr WallTime start { 1'796'338'200'123ms };

}

BOOST_AUTO_TEST_SUITE(Hybrid_clock)

BOOST_AUTO_TEST_CASE(A_tick_follows_the_wall_clock_when_it_advances)
{
    HybridClock clock;
    BOOST_TEST(toString(clock.tick(start)) == "1796338200123.0");
    BOOST_TEST(toString(clock.tick(start)) == "1796338200123.1");
    BOOST_TEST(toString(clock.tick(start + 1ms)) == "1796338200124.0");
}

BOOST_AUTO_TEST_CASE(A_wall_clock_that_steps_back_does_not_turn_time_back)
{
    HybridClock clock;
    const auto before = clock.tick(start);
    BOOST_TEST((clock.tick(start - 5s) > before));
}

BOOST_AUTO_TEST_CASE(An_effect_is_later_than_its_cause_on_a_process_whose_clock_is_behind)
{
    HybridClock cause;
    HybridClock effect;
    const auto sent = cause.tick(start);
    const auto received = effect.observe(sent, start - 3s);
    BOOST_TEST(!received.isClamped);
    BOOST_TEST((received.time > sent));
    BOOST_TEST((effect.tick(start - 3s) > received.time));
}

BOOST_AUTO_TEST_CASE(A_remote_time_beyond_the_drift_is_clamped_and_reported)
{
    HybridClock clock;
    const auto observed = clock.observe({ start + 24h, 7 }, start);
    BOOST_TEST(observed.isClamped);
    BOOST_TEST((observed.time.wall == start + HybridClock::s_maximumDrift));
}

BOOST_AUTO_TEST_CASE(A_full_counter_carries_into_the_milliseconds)
{
    HybridClock clock;
    clock.observe({ start, 4'294'967'294U }, start);
    BOOST_TEST(toString(clock.tick(start)) == "1796338200124.0");
}

BOOST_AUTO_TEST_CASE(Messages_in_any_order_between_skewed_processes_never_arrive_before_they_were_sent)
{
    std::mt19937_64 random(20261203);
    std::array<HybridClock, 4> clocks;
    constexpr std::array<std::chrono::milliseconds, 4> skews { -4s, 0ms, 2s, 4s };
    for (int round = 0; round < 2000; ++round) {
        const auto now = start + std::chrono::milliseconds(round / 10);
        const auto from = random() % clocks.size();
        const auto to = random() % clocks.size();
        const auto sent = clocks[from].tick(now + skews[from]);
        const auto received = clocks[to].observe(sent, now + skews[to]);
        BOOST_REQUIRE((received.time > sent));
    }
}

BOOST_AUTO_TEST_CASE(Text_that_is_no_time_is_refused)
{
    for (const auto* text : { "", ".", "12", "12.", ".4", "a.1", "1.a", "1.-1", "-1.1", "1.4294967296", "1.1.1", " 1.1", "99999999999999999999.0" })
        BOOST_TEST(!hybridTimeFromText(text).has_value(), "accepted: " << text);
    const auto time = hybridTimeFromText("1796338200123.4");
    BOOST_REQUIRE(time.has_value());
    BOOST_TEST(toString(*time) == "1796338200123.4");
}

BOOST_AUTO_TEST_SUITE_END()
