#include "carobpath/publication/ReadWatchdog.h"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace carobpath::publication {

namespace {

    using namespace std::chrono_literals;

    constexpr auto tick = 100ms;
    constexpr auto checkInterval = 1s;
    constexpr CheckSchedule schedule { checkInterval, checkInterval };

    /// A watchdog under a virtual clock, whose store answers or swallows checks.
    struct WatchedRead {
        ReadWatchdog watchdog { std::mt19937_64 { 1 } };
        MonotonicTime now { 1h };
        StreamPosition end { {}, 7 };
        bool isStoreSilent = false;
        std::size_t checks = 0;
        std::size_t repeats = 0;

        void send(StreamPosition from, ReadKind kind = ReadKind::LongPoll)
        {
            watchdog.onReadSent(kind, from, now);
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
                send(end, ReadKind::Immediate);
                watchdog.onReadAnswered();
                send(end);
            }
            if (step != ReadStep::CheckEnd)
                return;
            ++checks;
            if (isStoreSilent)
                watchdog.onCheckFailed(false, now);
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

BOOST_AUTO_TEST_CASE(A_read_that_waits_while_the_store_answers_a_large_fleet_is_not_repeated)
{
    constexpr double bytesPerSecond = 80e6;
    for (const std::size_t nodes : { 14U, 69U, 200U }) {
        WatchedRead it;
        it.watchdog.setDeliveryTimeout(ReadWatchdog::deliveryTimeoutFor(nodes, bytesPerSecond));
        it.send({ {}, 6 });
        it.watchdog.onEndKnown(it.end, it.now);
        const std::chrono::duration<double> toAnswerAll { static_cast<double>(nodes) * ReadWatchdog::s_largeAnswerBytes / bytesPerSecond };
        it.run(std::chrono::duration_cast<std::chrono::milliseconds>(toAnswerAll));
        BOOST_TEST(it.repeats == 0U, nodes << " nodes");
        it.run(ReadWatchdog::s_deliveryTimeout + 2 * tick);
        BOOST_TEST(it.repeats == 1U, nodes << " nodes");
    }
}

BOOST_AUTO_TEST_CASE(A_lost_read_is_repeated_within_a_bound_in_a_fleet_of_any_size)
{
    BOOST_TEST((ReadWatchdog::deliveryTimeoutFor(294, 80e6) == ReadWatchdog::s_maxDeliveryTimeout));
    BOOST_TEST((ReadWatchdog::deliveryTimeoutFor(1'000'000, 1) == ReadWatchdog::s_maxDeliveryTimeout));
    BOOST_TEST((ReadWatchdog::deliveryTimeoutFor(294, 0) == ReadWatchdog::s_deliveryTimeout));
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

BOOST_AUTO_TEST_CASE(A_listing_that_takes_longer_than_the_time_between_two_records_is_not_begun_again)
{
    WatchedRead it;
    it.send({ {}, 7 }, ReadKind::Immediate);
    for (Offset end = 8; end < 20; ++end) {
        it.watchdog.onEndKnown({ {}, end }, it.now);
        it.run(2 * ReadWatchdog::s_deliveryTimeout);
    }
    BOOST_TEST(it.repeats == 0U);
}

BOOST_AUTO_TEST_CASE(A_checking_node_notices_a_record_that_no_read_delivered)
{
    WatchedRead it;
    it.watchdog.setCheckSchedule(schedule, it.now);
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
    it.watchdog.setCheckSchedule(schedule, it.now);
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
    it.watchdog.onReadFailed(false);
    it.run(1s);
    BOOST_TEST(it.repeats == 0U);
    it.watchdog.onEndKnown({ {}, 8 }, it.now);
    it.run(ReadWatchdog::s_deliveryTimeout + tick);
    BOOST_TEST(it.repeats == 1U);
}

BOOST_AUTO_TEST_CASE(A_node_without_a_schedule_asks_for_nothing)
{
    WatchedRead it;
    it.watchdog.setCheckSchedule(schedule, it.now);
    it.watchdog.setCheckSchedule(std::nullopt, it.now);
    it.send({ {}, 7 });
    it.run(60s);
    BOOST_TEST(it.checks == 0U);
}

BOOST_AUTO_TEST_CASE(Nodes_that_share_the_checks_of_a_stream_take_turns_after_each_record)
{
    constexpr std::size_t nodes = 9;
    constexpr auto turn = 500ms;
    std::vector<WatchedRead> fleet(nodes);
    for (std::size_t i = 0; i < nodes; ++i) {
        // Views reach the nodes at different times, records at the same time.
        fleet[i].watchdog.setCheckSchedule(CheckSchedule { nodes * turn, (i + 1) * turn }, fleet[i].now - i * 300ms);
        fleet[i].watchdog.onRecordsRead(fleet[i].now);
        fleet[i].send({ {}, 7 });
    }
    std::size_t before = 0;
    for (auto time = 0ms; time < 60s; time += turn) {
        std::size_t checks = 0;
        for (auto& it : fleet) {
            it.run(turn);
            checks += it.checks;
        }
        if (time > 0ms)
            BOOST_TEST(checks - before == 1U);
        before = checks;
    }
}

BOOST_AUTO_TEST_CASE(A_read_that_was_lost_is_repeated_while_further_ends_become_known_in_quick_succession)
{
    WatchedRead it;
    it.send({ {}, 7 });
    for (Offset end = 8; end < 20; ++end) {
        it.end = { {}, end };
        it.watchdog.onEndKnown(it.end, it.now);
        it.run(tick);
    }
    BOOST_TEST(it.repeats > 0U);
}

BOOST_AUTO_TEST_CASE(A_read_whose_records_were_skipped_in_part_has_its_time_for_the_others)
{
    WatchedRead it;
    it.send({ {}, 7 });
    it.watchdog.onEndKnown({ {}, 9 }, it.now);
    it.run(tick);
    it.watchdog.onSkippedTo({ {}, 8 }, it.now);
    it.run(ReadWatchdog::s_deliveryTimeout);
    BOOST_TEST(it.repeats == 0U);
    it.watchdog.onSkippedTo({ {}, 9 }, it.now);
    it.run(60s);
    BOOST_TEST(it.repeats == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}
