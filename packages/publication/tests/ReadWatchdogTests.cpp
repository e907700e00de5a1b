#include "carobpath/publication/ReadWatchdog.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

namespace carobpath::publication {

namespace {

    using namespace std::chrono_literals;

    constexpr auto tick = 100ms;
    constexpr auto checkInterval = 1s;

    /// A watchdog under a virtual clock, whose store answers or swallows checks.
    struct WatchedRead {
        ReadWatchdog watchdog { std::mt19937_64 { 1 } };
        MonotonicTime now { 1h };
        StreamPosition end { {}, 7 };
        bool isStoreSilent = false;
        std::size_t checks = 0;
        std::size_t repeats = 0;

        void send(StreamPosition from)
        {
            watchdog.onReadSent(from, now);
        }

        void run(std::chrono::milliseconds time)
        {
            for (const auto until = now + time; now < until; now += tick)
                step(watchdog.next(now));
        }

        void step(ReadStep step)
        {
            if (step == ReadStep::ReadAgain) {
                ++repeats;
                send(end);
            }
            if (step != ReadStep::CheckEnd)
                return;
            ++checks;
            if (isStoreSilent)
                watchdog.onCheckFailed(now);
            else
                watchdog.onCheckAnswered(end, now);
        }
    };

}

BOOST_AUTO_TEST_SUITE(Read_watchdogs)

BOOST_AUTO_TEST_CASE(A_read_that_does_not_deliver_a_record_known_to_exist_is_repeated)
{
    WatchedRead it;
    it.send({ {}, 7 });
    it.run(60s);
    BOOST_TEST(it.repeats == 0U);
    it.end = { {}, 9 };
    it.watchdog.onEndKnown({ {}, 9 }, it.now);
    it.run(ReadWatchdog::s_deliveryTimeout);
    BOOST_TEST(it.repeats == 0U);
    it.run(tick);
    BOOST_TEST(it.repeats == 1U);
}

BOOST_AUTO_TEST_CASE(An_end_of_an_earlier_era_does_not_mask_the_ends_of_the_store_that_came_back)
{
    WatchedRead it;
    it.send({ {}, 90 });
    it.watchdog.onEndKnown({ {}, 90 }, it.now);
    it.end = { { 1 }, 4 };
    it.watchdog.onEndKnown({ { 1 }, 4 }, it.now);
    it.run(ReadWatchdog::s_deliveryTimeout + tick);
    BOOST_TEST(it.repeats == 1U);
    it.watchdog.onEndKnown({ {}, 95 }, it.now);
    it.run(60s);
    BOOST_TEST(it.repeats == 1U);
    it.end = { { 1 }, 5 };
    it.watchdog.onEndKnown({ { 1 }, 5 }, it.now);
    it.run(ReadWatchdog::s_deliveryTimeout + tick);
    BOOST_TEST(it.repeats == 2U);
}

BOOST_AUTO_TEST_CASE(A_read_that_delivers_in_time_is_not_repeated)
{
    WatchedRead it;
    it.send({ {}, 7 });
    it.watchdog.onEndKnown({ {}, 9 }, it.now);
    it.run(tick);
    it.watchdog.onReadAnswered();
    it.run(1s);
    it.send({ {}, 9 });
    it.run(60s);
    BOOST_TEST(it.repeats == 0U);
}

BOOST_AUTO_TEST_CASE(A_read_is_repeated_once_for_an_end_that_the_store_does_not_confirm)
{
    WatchedRead it;
    it.send({ {}, 7 });
    it.watchdog.onEndKnown({ {}, 9 }, it.now);
    it.run(60s);
    BOOST_TEST(it.repeats == 1U);
    it.watchdog.onEndKnown({ {}, 10 }, it.now);
    it.run(60s);
    BOOST_TEST(it.repeats == 2U);
}

BOOST_AUTO_TEST_CASE(A_checking_node_notices_a_record_that_no_read_delivered)
{
    WatchedRead it;
    it.watchdog.setCheckInterval(checkInterval, it.now);
    it.send({ {}, 7 });
    it.run(10s);
    BOOST_TEST(it.checks >= 9U);
    BOOST_TEST(it.checks <= 11U);
    BOOST_TEST(it.repeats == 0U);
    it.end = { {}, 8 };
    it.run(checkInterval + ReadWatchdog::s_deliveryTimeout + 2 * tick);
    BOOST_TEST(it.repeats == 1U);
}

BOOST_AUTO_TEST_CASE(A_read_that_was_pending_while_checks_failed_is_repeated_when_the_store_answers_again)
{
    WatchedRead it;
    it.watchdog.setCheckInterval(checkInterval, it.now);
    it.isStoreSilent = true;
    it.send({ {}, 7 });
    it.run(5s);
    BOOST_TEST(it.checks > 5U);
    BOOST_TEST(it.repeats == 0U);
    it.isStoreSilent = false;
    it.run(ReadWatchdog::s_checkRetryCap + 2 * tick);
    BOOST_TEST(it.repeats == 1U);
    it.run(60s);
    BOOST_TEST(it.repeats == 1U);
}

BOOST_AUTO_TEST_CASE(The_pause_after_a_failed_read_ends_when_a_newer_end_is_known)
{
    WatchedRead it;
    it.send({ {}, 7 });
    it.watchdog.onReadFailed();
    it.run(1s);
    BOOST_TEST(it.repeats == 0U);
    it.watchdog.onEndKnown({ {}, 8 }, it.now);
    it.run(ReadWatchdog::s_deliveryTimeout + tick);
    BOOST_TEST(it.repeats == 1U);
}

BOOST_AUTO_TEST_CASE(A_node_without_an_interval_asks_for_nothing)
{
    WatchedRead it;
    it.watchdog.setCheckInterval(checkInterval, it.now);
    it.watchdog.setCheckInterval(std::nullopt, it.now);
    it.send({ {}, 7 });
    it.run(60s);
    BOOST_TEST(it.checks == 0U);
}

BOOST_AUTO_TEST_CASE(Nodes_that_start_together_spread_their_checks)
{
    constexpr std::size_t nodes = 9;
    constexpr auto interval = 9s;
    std::array<std::size_t, 9> checksBySecond {};
    for (std::size_t i = 0; i < nodes; ++i) {
        ReadWatchdog watchdog { std::mt19937_64 { i } };
        const MonotonicTime start { 1h };
        watchdog.setCheckInterval(interval, start);
        watchdog.onReadSent({}, start);
        auto at = start;
        while (watchdog.next(at) != ReadStep::CheckEnd)
            at += tick;
        ++checksBySecond.at(static_cast<std::size_t>(std::min<std::int64_t>((at - start) / 1s, 8)));
    }
    BOOST_TEST(*std::max_element(checksBySecond.begin(), checksBySecond.end()) <= 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}
