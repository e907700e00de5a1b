#include "internal/Countdown.h"

#include <boost/test/unit_test.hpp>

using namespace carobpath::node::Detail;
using std::chrono::milliseconds;

namespace {

struct Fixture {
    boost::asio::io_context io;
    int calls = 0;

    Countdown::Pointer start(std::size_t steps, milliseconds longest)
    {
        return Countdown::start(io, steps, longest, [this] { ++calls; });
    }
};

}

BOOST_FIXTURE_TEST_SUITE(A_countdown, Fixture)

BOOST_AUTO_TEST_CASE(Ends_with_its_last_step_and_not_before)
{
    const auto countdown = start(2, milliseconds { 60000 });
    countdown->step();
    BOOST_TEST(calls == 0);
    countdown->step();
    BOOST_TEST(calls == 1);
    io.run();
    BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(Ends_when_its_time_is_up_and_counts_no_later_step)
{
    const auto countdown = start(2, milliseconds { 1 });
    io.run();
    BOOST_TEST(calls == 1);
    countdown->step();
    countdown->step();
    BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(Without_steps_ends_at_once)
{
    start(0, milliseconds { 60000 });
    BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_SUITE_END()
