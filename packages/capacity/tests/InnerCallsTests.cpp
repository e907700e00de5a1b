#include "carobpath/capacity/InnerCalls.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace carobpath::capacity {

using namespace std::chrono_literals;

namespace {

    const MonotonicTime start { 1h };
    const RouteName page { "page" };
    const RouteName image { "image" };

    /// Calls run one after the other.
    struct Node {
        /// \returns whether the call was let run.
        bool call(const RouteName& route, InnerCallEnd innerEnd, bool hasFailed)
        {
            const auto at = now;
            now += 20ms;
            if (calls.refusedFor({ route, 0, at + 3s }, at))
                return false;
            calls.onDispatched();
            calls.onEnded(innerEnd, at + 10ms);
            calls.onFinished(route, at, hasFailed, now);
            return true;
        }

        InnerCalls calls;
        MonotonicTime now = start;
    };

}

BOOST_AUTO_TEST_SUITE(Inner_calls)

BOOST_AUTO_TEST_CASE(A_route_is_bounded_once_its_calls_fail_for_denied_inner_calls)
{
    Node it;
    for (int i = 0; i < 30; ++i)
        it.call(page, InnerCallEnd::Denied, true);
    BOOST_TEST(it.calls.callsPerSecond(page, it.now).has_value());
}

BOOST_AUTO_TEST_CASE(A_route_whose_calls_succeed_beside_denied_inner_calls_is_not_bounded)
{
    Node it;
    for (int i = 0; i < 30; ++i) {
        it.call(page, InnerCallEnd::Denied, true);
        it.call(image, InnerCallEnd::Denied, false);
    }
    BOOST_TEST(it.calls.callsPerSecond(page, it.now).has_value());
    BOOST_TEST(!it.calls.callsPerSecond(image, it.now).has_value());
}

BOOST_AUTO_TEST_CASE(A_route_that_fails_without_denied_inner_calls_is_not_bounded)
{
    Node it;
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(it.call(page, InnerCallEnd::Answered, true));
}

// Guards against a bound that falls on and on beside backend servers that refuse at random, where fewer calls free no room.
BOOST_AUTO_TEST_CASE(Inner_calls_that_fail_for_other_reasons_hardly_bound_a_route)
{
    Node it;
    std::mt19937_64 random { 5 };
    std::size_t run = 0;
    constexpr std::size_t calls = 2000;
    for (std::size_t i = 0; i < calls; ++i) {
        const auto draw = random() % 100;
        const auto end = draw < 3 ? InnerCallEnd::Denied : draw < 60 ? InnerCallEnd::Failed
                                                                     : InnerCallEnd::Answered;
        // A denied inner call of another call ends meanwhile.
        it.calls.onEnded(random() % 100 < 3 ? InnerCallEnd::Denied : InnerCallEnd::Failed, it.now);
        run += it.call(page, end, end != InnerCallEnd::Answered) ? 1 : 0;
    }
    BOOST_TEST(run >= calls * 9 / 10);
}

BOOST_AUTO_TEST_CASE(Callers_that_left_early_deny_nothing)
{
    Node it;
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(it.call(page, InnerCallEnd::Other, true));
}

BOOST_AUTO_TEST_CASE(Refused_callers_are_spread_over_time)
{
    Node it;
    for (int i = 0; i < 30; ++i)
        it.call(page, InnerCallEnd::Denied, true);
    std::optional<std::chrono::milliseconds> last;
    for (int i = 0; i < 50; ++i) {
        const auto wait = it.calls.refusedFor({ page, 0, it.now + 30s }, it.now);
        if (wait && last)
            BOOST_TEST((*wait > *last));
        last = wait;
    }
    BOOST_TEST(last.has_value());
}

BOOST_AUTO_TEST_CASE(A_call_is_taken_for_an_inner_one_only_while_another_runs)
{
    InnerCalls it;
    it.onDispatched();
    BOOST_TEST(it.onEntered(image));
    it.onFinished(page, start, false, start + 10ms);
    BOOST_TEST(!it.onEntered(image));
}

BOOST_AUTO_TEST_SUITE_END()

}
