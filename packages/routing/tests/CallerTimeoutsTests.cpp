#include "carobpath/routing/CallerTimeouts.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace carobpath::routing::tests {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Caller_timeouts)

BOOST_AUTO_TEST_CASE(Nothing_is_known_before_a_few_first_tries)
{
    CallerTimeouts timeouts;
    timeouts.onFirstTry(3000ms);
    BOOST_TEST(!timeouts.timeUsedUp(1000ms).has_value());
}

BOOST_AUTO_TEST_CASE(A_caller_who_comes_back_is_known_by_its_remaining_time)
{
    CallerTimeouts timeouts;
    for (int i = 0; i < 50; ++i)
        timeouts.onFirstTry(3000ms);
    BOOST_TEST(timeouts.timeUsedUp(2250ms).value().count() == 750);
    BOOST_TEST(timeouts.timeUsedUp(3000ms).value().count() == 0);
}

// Guards against first tries that are refused as late since their callers' patience differs.
BOOST_AUTO_TEST_CASE(Callers_of_differing_patience_have_not_waited)
{
    CallerTimeouts timeouts;
    std::mt19937 random { 1 };
    std::uniform_int_distribution<int> patience { 3400, 4000 };
    for (int i = 0; i < 200; ++i)
        timeouts.onFirstTry(std::chrono::milliseconds { patience(random) });
    int late = 0;
    for (int i = 0; i < 1000; ++i)
        late += timeouts.timeUsedUp(std::chrono::milliseconds { patience(random) }).value() > 0ms ? 1 : 0;
    BOOST_TEST(late <= 20);
    BOOST_TEST(timeouts.timeUsedUp(2700ms).value().count() >= 800);
}

BOOST_AUTO_TEST_SUITE_END()

}
