#include "carobpath/moves/Evidence.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::moves {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Evidence)

BOOST_AUTO_TEST_CASE(A_latency_belongs_to_the_first_class_whose_bound_it_does_not_exceed)
{
    BOOST_TEST(latencyClassOf(0ns) == 0U);
    BOOST_TEST(latencyClassOf(1ms) == 0U);
    BOOST_TEST(latencyClassOf(1ms + 1ns) == 1U);
    BOOST_TEST(latencyClassOf(24h) == latencyClasses - 1);
}

BOOST_AUTO_TEST_SUITE_END()

}
