#include "SlotForecast.h"

#include <boost/test/unit_test.hpp>

using namespace carobpath::routing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(A_slot_forecast)

BOOST_AUTO_TEST_CASE(Has_no_wait_while_a_slot_is_free)
{
    BOOST_TEST((SlotForecast({ 50ms }, 2).untilFree() == 0ns));
}

BOOST_AUTO_TEST_CASE(Assigns_the_earliest_slot_to_each_queued_call)
{
    SlotForecast forecast({ 50ms, 20ms, 90ms }, 3);
    BOOST_TEST((forecast.untilFree() == 20ms));
    forecast.take(100ms);
    BOOST_TEST((forecast.untilFree() == 50ms));
    forecast.take(100ms);
    BOOST_TEST((forecast.untilFree() == 90ms));
    forecast.take(100ms);
    BOOST_TEST((forecast.untilFree() == 120ms));
}

BOOST_AUTO_TEST_CASE(Frees_no_slot_when_a_call_in_excess_of_the_slots_ends)
{
    BOOST_TEST((SlotForecast({ 10ms, 20ms, 30ms }, 2).untilFree() == 20ms));
}

BOOST_AUTO_TEST_SUITE_END()
