#include "carobpath/publication/ReadPacer.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::publication {

namespace {

    using namespace std::chrono_literals;

    constexpr auto tick = 100ms;

    StreamPosition at(Offset offset) { return { {}, offset }; }

    /// A pacer under a virtual clock, whose reader has read the stream up to offset 1 and pauses.
    struct PausedReader {
        ReadPacer pacer { std::mt19937_64 { 1 } };
        MonotonicTime now { 1h };

        PausedReader()
        {
            pacer.onReadSent(ReadKind::LongPoll, now);
            pacer.onAnswerBegun(now);
            pacer.onPosition(at(1), now);
            pacer.onNews(now);
        }

        /// \returns the time until a read is due, or nothing if none is within the limit.
        std::optional<MonotonicClock::duration> untilDue(MonotonicClock::duration limit)
        {
            for (const auto begin = now; now - begin <= limit; now += tick) {
                if (pacer.isReadDue(now))
                    return now - begin;
            }
            return std::nullopt;
        }
    };

}

BOOST_AUTO_TEST_SUITE(Read_pacers)

BOOST_AUTO_TEST_CASE(Pauses_differ_between_nodes_and_stay_within_their_bounds)
{
    std::chrono::milliseconds shortest = ReadPacer::s_longestInterval;
    std::chrono::milliseconds longest {};
    const MonotonicTime now { 1h };
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        ReadPacer pacer { std::mt19937_64 { seed } };
        pacer.onReadSent(ReadKind::LongPoll, now);
        pacer.onAnswerBegun(now);
        const auto pause = pacer.onNews(now);
        shortest = std::min(shortest, pause);
        longest = std::max(longest, pause);
    }
    BOOST_TEST((shortest >= ReadPacer::s_shortestInterval));
    BOOST_TEST((longest <= ReadPacer::s_longestInterval));
    BOOST_TEST((longest - shortest > ReadPacer::s_longestInterval / 2));
}

BOOST_AUTO_TEST_CASE(The_pause_counts_from_the_moment_the_answer_was_made)
{
    for (const auto kind : { ReadKind::LongPoll, ReadKind::Immediate }) {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            ReadPacer pacer { std::mt19937_64 { seed } };
            MonotonicTime now { 1h };
            pacer.onReadSent(kind, now);
            // A long poll waits for its records; an immediate read is answered as it is sent.
            now += kind == ReadKind::LongPoll ? 20s : 0s;
            pacer.onAnswerBegun(now);
            BOOST_TEST((pacer.onNews(now + ReadPacer::s_longestInterval) == ReadPacer::s_shortestInterval));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(Nothing_is_due_while_nothing_is_known_to_be_new, PausedReader)
{
    pacer.onEndKnown(at(1), now);
    BOOST_TEST(!untilDue(60s).has_value());
}

BOOST_FIXTURE_TEST_CASE(A_read_of_what_is_not_forwarded_is_due_after_the_shortest_pause, PausedReader)
{
    pacer.onEndKnown(at(2), now);
    BOOST_TEST((untilDue(1s) == ReadPacer::s_shortestPause));
}

BOOST_FIXTURE_TEST_CASE(What_was_forwarded_and_is_not_in_force_is_read_in_the_end, PausedReader)
{
    pacer.onEndKnown(at(2), now);
    pacer.onForwarded(at(2));
    BOOST_TEST((untilDue(2s) == ReadPacer::s_activationTimeout));
}

BOOST_FIXTURE_TEST_CASE(Nothing_is_due_once_what_was_forwarded_is_in_force, PausedReader)
{
    pacer.onEndKnown(at(2), now);
    pacer.onForwarded(at(2));
    now += 500ms;
    pacer.onPosition(at(2), now);
    BOOST_TEST(!pacer.isBehind());
    BOOST_TEST(!untilDue(60s).has_value());
}

BOOST_FIXTURE_TEST_CASE(New_ends_in_quick_succession_do_not_put_off_the_read_of_one_that_was_missed, PausedReader)
{
    for (const bool areForwarded : { false, true }) {
        PausedReader it;
        bool isDue = false;
        for (Offset end = 2; end < 60 && !isDue; ++end, it.now += 50ms) {
            it.pacer.onEndKnown(at(end), it.now);
            if (areForwarded)
                it.pacer.onForwarded(at(end));
            isDue = it.pacer.isReadDue(it.now);
        }
        BOOST_TEST(isDue);
        BOOST_TEST((it.now - now <= ReadPacer::s_activationTimeout + tick));
    }
}

BOOST_FIXTURE_TEST_CASE(Each_version_that_comes_into_force_gives_the_next_its_own_time, PausedReader)
{
    for (Offset end = 2; end < 60; ++end, now += 300ms) {
        pacer.onEndKnown(at(end), now);
        pacer.onForwarded(at(end));
        BOOST_TEST(!pacer.isReadDue(now));
        pacer.onPosition(at(end - 1), now);
    }
}

BOOST_AUTO_TEST_CASE(A_pause_is_as_long_as_the_last_read_took)
{
    ReadPacer pacer { std::mt19937_64 { 1 } };
    MonotonicTime now { 1h };
    pacer.onReadSent(ReadKind::Immediate, now);
    now += 700ms;
    pacer.onPosition(at(1), now);
    pacer.onNews(now);
    pacer.onEndKnown(at(2), now);
    BOOST_TEST(!pacer.isReadDue(now + 600ms));
    BOOST_TEST(pacer.isReadDue(now + 700ms));
}

BOOST_AUTO_TEST_SUITE_END()

}
