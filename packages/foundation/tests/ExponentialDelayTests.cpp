#include "carobpath/foundation/ExponentialDelay.h"

#include <boost/test/unit_test.hpp>

#include <limits>

namespace carobpath {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Exponential_delay)

BOOST_AUTO_TEST_CASE(Doubles_up_to_the_longest_delay)
{
    const std::chrono::milliseconds expected[] { 100ms, 200ms, 400ms, 500ms, 500ms };
    for (std::uint32_t i = 0; i < std::size(expected); ++i)
        BOOST_TEST((exponentialDelay(100ms, i, 500ms) == expected[i]));
}

BOOST_AUTO_TEST_CASE(Is_the_longest_delay_after_any_larger_number_of_doublings)
{
    BOOST_TEST((exponentialDelay(1ms, std::numeric_limits<std::uint32_t>::max(), 24h) == 24h));
}

BOOST_AUTO_TEST_CASE(Is_never_more_than_the_longest_delay)
{
    BOOST_TEST((exponentialDelay(2s, 0, 1s) == 1s));
}

BOOST_AUTO_TEST_CASE(Stays_zero)
{
    BOOST_TEST((exponentialDelay(0ms, std::numeric_limits<std::uint32_t>::max(), 1s) == 0ms));
}

BOOST_AUTO_TEST_SUITE_END()

}
