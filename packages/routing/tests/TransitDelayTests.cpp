#include "carobpath/routing/TransitDelay.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing {

using namespace std::chrono_literals;

namespace {

    /// A sender whose clock started at another time than the receiver's, on a link of its own.
    struct Link {
        TransitDelay delay;
        MonotonicTime now { 1000s };
        Incarnation incarnation { 1 };
        std::chrono::milliseconds origin { 12345 };

        /// \returns the delay that is told of a message sent now that is under way for the time.
        MonotonicClock::duration send(std::chrono::milliseconds underWay)
        {
            const auto sentAt = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()) - origin;
            return delay.onMessage({ NodeName { "a" }, incarnation, sentAt }, now + underWay);
        }
    };

}

BOOST_AUTO_TEST_SUITE(Transit_delay)

BOOST_AUTO_TEST_CASE(The_wait_on_a_full_link_is_told_from_the_quickest_message_whatever_the_clocks_origins)
{
    Link link;
    BOOST_TEST((link.send(2ms) == 0ms));
    link.now += 100ms;
    BOOST_TEST((link.send(702ms) == 700ms));
    link.now += 100ms;
    BOOST_TEST((link.send(2ms) == 0ms));
}

BOOST_AUTO_TEST_CASE(A_first_message_that_waited_hides_no_more_than_its_own_wait)
{
    Link link;
    link.send(300ms);
    link.now += 100ms;
    BOOST_TEST((link.send(2ms) == 0ms));
    link.now += 100ms;
    BOOST_TEST((link.send(302ms) == 300ms));
}

BOOST_AUTO_TEST_CASE(A_sender_that_started_again_begins_anew)
{
    Link link;
    link.send(2ms);
    link.incarnation = Incarnation { 2 };
    link.origin = 999'999ms;
    BOOST_TEST((link.send(2ms) == 0ms));
    BOOST_TEST((link.send(52ms) == 50ms));
}

BOOST_AUTO_TEST_CASE(A_way_that_stays_longer_is_the_usual_one_after_two_windows)
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
