#include "carobpath/routing/TransitDelay.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing {

using namespace std::chrono_literals;

namespace {

    /// A link from a sender whose clock has another origin than the receiver's clock.
    struct Link {
        TransitDelay delay;
        MonotonicTime now { 1000s };
        Incarnation incarnation { 1 };
        std::chrono::milliseconds origin { 12345 };

        /// Sends a message that is in transit for the given time. \returns the reported delay.
        MonotonicClock::duration send(std::chrono::milliseconds transitTime)
        {
            const auto sentAt = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()) - origin;
            return delay.onMessage({ NodeName { "a" }, incarnation, sentAt }, now + transitTime);
        }
    };

}

BOOST_AUTO_TEST_SUITE(Transit_delay)

BOOST_AUTO_TEST_CASE(The_delay_is_measured_against_the_fastest_message_independently_of_the_clock_origins)
{
    Link link;
    BOOST_TEST((link.send(2ms) == 0ms));
    link.now += 100ms;
    BOOST_TEST((link.send(702ms) == 700ms));
    link.now += 100ms;
    BOOST_TEST((link.send(2ms) == 0ms));
}

BOOST_AUTO_TEST_CASE(A_delayed_first_message_does_not_hide_later_delays_once_a_faster_message_has_arrived)
{
    Link link;
    link.send(300ms);
    link.now += 100ms;
    BOOST_TEST((link.send(2ms) == 0ms));
    link.now += 100ms;
    BOOST_TEST((link.send(302ms) == 300ms));
}

BOOST_AUTO_TEST_CASE(A_restarted_sender_starts_with_a_new_baseline)
{
    Link link;
    link.send(2ms);
    link.incarnation = Incarnation { 2 };
    link.origin = 999'999ms;
    BOOST_TEST((link.send(2ms) == 0ms));
    BOOST_TEST((link.send(52ms) == 50ms));
}

BOOST_AUTO_TEST_CASE(A_permanently_longer_transit_time_becomes_the_baseline_after_two_windows)
{
    Link link;
    link.send(2ms);
    for (int i = 0; i < 25; ++i) {
        link.now += 1s;
        link.send(40ms);
    }
    BOOST_TEST((link.send(40ms) == 0ms));
    BOOST_TEST((link.send(90ms) == 50ms));
}

BOOST_AUTO_TEST_SUITE_END()

}
