#include "carobpath/foundation/Backoff.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace carobpath {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Backoffs)

BOOST_AUTO_TEST_CASE(Backoff_delays_stay_under_a_ceiling_that_doubles_and_is_reset)
{
    std::mt19937_64 random { 5 };
    Backoff backoff { 100ms, 1s };
    auto ceiling = 100ms;
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST((backoff.next(random) <= ceiling));
        ceiling = std::min<std::chrono::milliseconds>(1s, ceiling * 2);
    }
    backoff.reset();
    BOOST_TEST((backoff.next(random) <= 100ms));
}

BOOST_AUTO_TEST_SUITE_END()

}
