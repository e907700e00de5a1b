#include "carobpath/routing/AnswerTimes.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Answer_times)

BOOST_AUTO_TEST_CASE(Without_a_sample_there_is_no_bound)
{
    BOOST_TEST(!TimeBound {}.value().has_value());
}

BOOST_AUTO_TEST_CASE(The_bound_of_one_sample_is_three_times_as_long)
{
    TimeBound bound;
    bound.add(100ms);
    BOOST_TEST((bound.value() == 300ms));
}

BOOST_AUTO_TEST_CASE(Times_that_stay_the_same_bring_the_bound_down_to_them)
{
    TimeBound bound;
    for (int i = 0; i < 100; ++i)
        bound.add(100ms);
    BOOST_TEST((*bound.value() >= 99ms));
    BOOST_TEST((*bound.value() <= 101ms));
}

BOOST_AUTO_TEST_CASE(Times_that_vary_stay_below_the_bound)
{
    TimeBound bound;
    for (int i = 0; i < 100; ++i)
        bound.add(i % 4 == 0 ? 400ms : 100ms);
    BOOST_TEST((*bound.value() >= 400ms));
    BOOST_TEST((*bound.value() <= 1200ms));
}

BOOST_AUTO_TEST_SUITE_END()

}
