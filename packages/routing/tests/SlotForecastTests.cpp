#include "SlotForecast.h"

#include <boost/test/unit_test.hpp>

using namespace carobpath::routing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(A_forecast_of_slots)

BOOST_AUTO_TEST_CASE(Has_a_slot_at_once_while_one_is_free)
{
    BOOST_TEST((SlotForecast({ 50ms }, 2).untilFree() == 0ns));
}

BOOST_AUTO_TEST_CASE(Gives_the_earliest_slot_to_each_call_of_the_line)
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

BOOST_AUTO_TEST_CASE(Makes_no_room_with_the_end_of_a_call_beyond_the_slots)
{
    BOOST_TEST((SlotForecast({ 10ms, 20ms, 30ms }, 2).untilFree() == 20ms));
}

BOOST_AUTO_TEST_SUITE_END()
