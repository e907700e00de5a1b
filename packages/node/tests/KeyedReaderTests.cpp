#include "IgnoringHooks.h"
#include "internal/KeyedReader.h"

#include <boost/test/unit_test.hpp>

#include <thread>

namespace carobpath::node::Detail {

namespace {

    using namespace std::chrono_literals;
    using publication::KeyedRecord;
    using publication::LogError;
    using publication::LogFailure;
    using publication::Offset;
    using publication::StreamPosition;

    constexpr auto longPoll = 28s;

    /// A store that keeps the calls of readers until the test answers them.
    struct HeldStore {
        std::vector<KeyedRecord> records;
        std::vector<publication::KeyedHandler> listings;
        std::vector<publication::KeyedHandler> reads;
        std::vector<publication::EndHandler> checks;
        /// Of the last read.
        publication::AnswerBegunHandler begun;

        void listNewest(const std::string&, publication::KeyedHandler handler) { listings.push_back(std::move(handler)); }
        void readKeyed(const std::string&, Offset, std::chrono::milliseconds, publication::KeyedHandler handler, publication::AnswerBegunHandler onBegun)
        {
            reads.push_back(std::move(handler));
            begun = std::move(onBegun);
        }
        void checkEnd(const std::string&, Offset, publication::EndHandler handler) { checks.push_back(std::move(handler)); }
        void put(const std::string&, const KeyedRecord&, const std::optional<StreamPosition>&, const publication::AppendHandler&) { }
        void closeIdleConnections() { }

        publication::StoreEra era;

        StreamPosition end() const { return { era, records.size() }; }
        void append(std::string value) { records.push_back({ records.size(), "config", std::move(value), era }); }
        void answerListing() { std::exchange(listings.back(), {})({ publication::KeyedBatch { records.size(), { records.back() }, era } }); }
        /// Comes back from a copy that holds the first records only.
        void comeBackWith(std::size_t count)
        {
            records.resize(count);
            ++era.number;
        }
    };
    static_assert(publication::KeyedStore<HeldStore>);

    /// A reader that has listed the first record and waits for the next one.
    struct WaitingReader {
        boost::asio::io_context io;
        HeldStore store;
        std::vector<std::string> delivered;
        std::vector<StreamPosition> abandonedFor;
        std::vector<StreamPosition> checkedEnds;
        std::vector<bool> availability;
        std::vector<LogError> failed;
        std::size_t skipped = 0;
        std::shared_ptr<KeyedReader<HeldStore>> reader;

        WaitingReader()
        {
            store.append("first");
            reader = std::make_shared<KeyedReader<HeldStore>>(io, store, "orders", longPoll, hooks(), std::mt19937_64 { 1 });
            reader->start();
            store.answerListing();
            BOOST_REQUIRE(store.reads.size() == 1U);
        }

        KeyedReaderHooks hooks()
        {
            auto it = ignoringHooks();
            it.onRecord = appendValuesTo(delivered);
            it.onAvailable = [this](bool available, const LogFailure&) { availability.push_back(available); };
            it.stream.onEndChecked = [this](StreamPosition end) { checkedEnds.push_back(end); };
            it.stream.onReadFailed = [this](const FailedRead& read) { failed.push_back(read.failure.error); };
            it.stream.onSkipped = [this](std::size_t count) { skipped += count; };
            it.stream.onReadAbandoned = [this](const AbandonedRead& read) { abandonedFor.push_back(read.knownEnd); };
            return it;
        }

        void tickAfter(std::chrono::milliseconds time) const { reader->onTick(MonotonicClock::now() + time); }
    };

}

BOOST_FIXTURE_TEST_SUITE(Keyed_readers, WaitingReader)

BOOST_AUTO_TEST_CASE(A_record_that_a_swallowed_read_does_not_deliver_is_listed_once_a_peer_knows_of_it)
{
    store.append("second");
    reader->onEndKnown(store.end());
    tickAfter(publication::ReadWatchdog::s_deliveryTimeout);
    BOOST_REQUIRE(store.listings.size() == 2U);
    BOOST_TEST((abandonedFor == std::vector<StreamPosition> { { {}, 2 } }));
    store.answerListing();
    BOOST_TEST((delivered == std::vector<std::string> { "first", "second" }));
}

BOOST_AUTO_TEST_CASE(A_read_whose_answer_is_arriving_is_not_begun_again)
{
    store.append("second");
    reader->onEndKnown(store.end());
    store.begun();
    tickAfter(10 * publication::ReadWatchdog::s_deliveryTimeout);
    BOOST_TEST(store.listings.size() == 1U);
    store.reads.front()(publication::KeyedBatch { 2, { store.records.back() } });
    BOOST_TEST((delivered == std::vector<std::string> { "first", "second" }));
}

BOOST_AUTO_TEST_CASE(The_pause_after_news_counts_from_the_moment_their_answer_was_made)
{
    store.append("second");
    store.begun();
    std::this_thread::sleep_for(700ms);
    store.reads.front()(publication::KeyedBatch { 2, { store.records.back() } });
    BOOST_TEST(store.reads.size() == 1U);
    io.run_for(700ms);
    BOOST_TEST(store.reads.size() == 2U);
}

BOOST_AUTO_TEST_CASE(A_read_whose_answer_breaks_off_is_begun_again)
{
    store.append("second");
    reader->onEndKnown(store.end());
    store.begun();
    store.reads.front()(LogFailure { LogError::TimedOut, 0 });
    tickAfter(publication::ReadWatchdog::s_deliveryTimeout);
    BOOST_TEST(store.listings.size() == 2U);
}

BOOST_AUTO_TEST_CASE(A_listing_that_timed_out_is_repeated_at_once_while_records_are_due)
{
    store.append("second");
    reader->onEndKnown(store.end());
    tickAfter(publication::ReadWatchdog::s_deliveryTimeout);
    BOOST_REQUIRE(store.listings.size() == 2U);
    store.listings.back()(LogFailure { LogError::TimedOut, 0 });
    tickAfter(2 * publication::ReadWatchdog::s_deliveryTimeout);
    BOOST_REQUIRE(store.listings.size() == 3U);
    store.answerListing();
    BOOST_TEST((delivered == std::vector<std::string> { "first", "second" }));
}

BOOST_AUTO_TEST_CASE(A_listing_that_the_store_refused_is_not_repeated_on_each_tick)
{
    store.append("second");
    reader->onEndKnown(store.end());
    tickAfter(publication::ReadWatchdog::s_deliveryTimeout);
    BOOST_REQUIRE(store.listings.size() == 2U);
    store.listings.back()(LogFailure { LogError::Unavailable, 503 });
    for (int i = 2; i < 10; ++i)
        tickAfter(i * publication::ReadWatchdog::s_deliveryTimeout);
    BOOST_TEST(store.listings.size() == 2U);
}

BOOST_AUTO_TEST_CASE(A_late_answer_to_an_abandoned_read_is_ignored)
{
    store.append("second");
    reader->onEndKnown(store.end());
    tickAfter(publication::ReadWatchdog::s_deliveryTimeout);
    store.reads.front()(publication::KeyedBatch { 2, { store.records.back() } });
    BOOST_TEST((delivered == std::vector<std::string> { "first" }));
    store.answerListing();
    BOOST_TEST((delivered == std::vector<std::string> { "first", "second" }));
}

BOOST_AUTO_TEST_CASE(A_check_that_fails_and_one_that_is_answered_tell_that_the_store_was_away)
{
    reader->setCheckSchedule(publication::CheckSchedule { 100ms, 100ms });
    tickAfter(1s);
    BOOST_REQUIRE(store.checks.size() == 1U);
    store.checks.back()(LogFailure { LogError::TimedOut, 0 });
    tickAfter(5s);
    BOOST_REQUIRE(store.checks.size() == 2U);
    store.checks.back()(store.end());
    BOOST_TEST((availability == std::vector<bool> { false, true }));
    tickAfter(6s);
    BOOST_TEST(store.listings.size() == 2U);
}

BOOST_AUTO_TEST_CASE(An_end_that_a_check_finds_is_reported_before_the_pending_read_is_given_up)
{
    reader->setCheckSchedule(publication::CheckSchedule { 100ms, 100ms });
    tickAfter(1s);
    BOOST_REQUIRE(store.checks.size() == 1U);
    store.append("second");
    store.checks.back()(store.end());
    BOOST_TEST((checkedEnds == std::vector<StreamPosition> { store.end() }));
    BOOST_TEST(abandonedFor.empty());
}

BOOST_AUTO_TEST_CASE(A_check_that_the_store_refuses_does_not_make_a_pending_read_suspect)
{
    reader->setCheckSchedule(publication::CheckSchedule { 100ms, 100ms });
    tickAfter(1s);
    BOOST_REQUIRE(store.checks.size() == 1U);
    store.checks.back()(LogFailure { LogError::Unavailable, 429 });
    tickAfter(5s);
    BOOST_REQUIRE(store.checks.size() == 2U);
    store.checks.back()(store.end());
    tickAfter(6s);
    BOOST_TEST(store.listings.size() == 1U);
}

BOOST_AUTO_TEST_CASE(A_failed_read_and_skipped_entries_are_reported)
{
    store.reads.back()(LogFailure { LogError::TimedOut, 0 });
    BOOST_TEST((failed == std::vector<LogError> { LogError::TimedOut }));
    io.run_for(1s);
    BOOST_REQUIRE(store.listings.size() == 2U);
    store.listings.back()(publication::KeyedBatch { 1, {}, store.era, 3 });
    BOOST_TEST(skipped == 3U);
}

BOOST_AUTO_TEST_CASE(A_listing_that_takes_longer_than_a_read_is_not_given_up)
{
    store.append("second");
    reader->onEndKnown(store.end());
    tickAfter(publication::ReadWatchdog::s_deliveryTimeout);
    BOOST_REQUIRE(store.listings.size() == 2U);
    for (int i = 0; i < 5; ++i) {
        store.append("next");
        reader->onEndKnown(store.end());
        tickAfter(2 * publication::ReadWatchdog::s_deliveryTimeout);
    }
    BOOST_TEST(store.listings.size() == 2U);
}

BOOST_AUTO_TEST_CASE(A_check_answered_after_the_reader_stopped_is_ignored)
{
    reader->setCheckSchedule(publication::CheckSchedule { 100ms, 100ms });
    tickAfter(1s);
    BOOST_REQUIRE(store.checks.size() == 1U);
    reader->stop();
    store.checks.back()(LogFailure { LogError::TimedOut, 0 });
    BOOST_TEST(availability.empty());
}

BOOST_AUTO_TEST_CASE(A_read_that_a_store_answers_after_its_return_is_followed_by_a_listing)
{
    store.append("lost");
    store.reads.back()(publication::KeyedBatch { 2, { store.records.back() }, store.era });
    io.run_for(2s);
    BOOST_REQUIRE(store.reads.size() == 2U);
    store.comeBackWith(1);
    store.append("below the cursor");
    store.append("behind the cursor");
    store.reads.back()(publication::KeyedBatch { 3, { { 2, "other", "behind the cursor", store.era } }, store.era });
    BOOST_REQUIRE(store.listings.size() == 2U);
    store.answerListing();
    BOOST_TEST((delivered == std::vector<std::string> { "first", "lost", "behind the cursor" }));
    BOOST_TEST(store.reads.size() == 3U);
}

BOOST_AUTO_TEST_CASE(A_store_that_is_known_to_have_come_back_is_listed_and_the_pending_read_is_dropped)
{
    store.comeBackWith(1);
    reader->onEra(store.era);
    io.run_for(1s);
    BOOST_REQUIRE(store.listings.size() == 2U);
    store.reads.front()(publication::KeyedBatch { 2, { { 1, "config", "late" } } });
    store.answerListing();
    BOOST_TEST((delivered == std::vector<std::string> { "first", "first" }));
    reader->onEra(store.era);
    io.restart();
    io.run_for(1s);
    BOOST_TEST(store.listings.size() == 2U);
}

BOOST_AUTO_TEST_CASE(A_peer_that_knows_of_a_later_era_ends_a_read_of_an_earlier_one)
{
    store.comeBackWith(0);
    store.append("again");
    reader->onEndKnown(store.end());
    tickAfter(publication::ReadWatchdog::s_deliveryTimeout);
    BOOST_REQUIRE(store.listings.size() == 2U);
    store.answerListing();
    BOOST_TEST((delivered == std::vector<std::string> { "first", "again" }));
}

BOOST_AUTO_TEST_CASE(A_stopped_reader_abandons_and_checks_nothing)
{
    reader->setCheckSchedule(publication::CheckSchedule { 100ms, 100ms });
    reader->onEndKnown({ {}, 9 });
    reader->stop();
    tickAfter(1min);
    BOOST_TEST(store.listings.size() == 1U);
    BOOST_TEST(store.checks.empty());
}

BOOST_AUTO_TEST_CASE(A_check_that_ends_after_the_reader_stopped_is_ignored)
{
    reader->setCheckSchedule(publication::CheckSchedule { 100ms, 100ms });
    tickAfter(1s);
    BOOST_REQUIRE(store.checks.size() == 1U);
    reader->stop();
    store.checks.back()(LogFailure { LogError::TimedOut, 0 });
    BOOST_TEST(availability.empty());
}

BOOST_AUTO_TEST_CASE(Records_that_are_skipped_are_neither_awaited_nor_listed)
{
    store.append("second");
    reader->onEndKnown(store.end());
    reader->skip("config", { {}, 1, 2 });
    tickAfter(10 * publication::ReadWatchdog::s_deliveryTimeout);
    BOOST_TEST(store.listings.size() == 1U);
    BOOST_TEST((reader->position() == StreamPosition { {}, 2 }));
}

BOOST_AUTO_TEST_CASE(After_a_pause_in_which_records_were_skipped_the_node_polls_from_there)
{
    store.append("second");
    store.reads.front()(publication::KeyedBatch { 2, { store.records.back() } });
    store.append("third");
    reader->onEndKnown(store.end());
    reader->skip("config", { {}, 1, 3 });
    tickAfter(900ms);
    BOOST_TEST(store.reads.size() == 1U);
    io.run_for(1'200ms);
    BOOST_REQUIRE(store.reads.size() == 2U);
    BOOST_TEST((reader->position() == StreamPosition { {}, 3 }));
    BOOST_TEST(store.listings.size() == 1U);
}

BOOST_AUTO_TEST_CASE(A_pause_ends_soon_if_what_is_known_to_be_new_is_not_forwarded)
{
    store.append("second");
    store.reads.front()(publication::KeyedBatch { 2, { store.records.back() } });
    store.append("third");
    reader->onEndKnown(store.end());
    tickAfter(100ms);
    BOOST_TEST(store.reads.size() == 1U);
    tickAfter(400ms);
    BOOST_TEST(store.reads.size() == 2U);
}

BOOST_AUTO_TEST_CASE(What_was_forwarded_is_read_if_it_does_not_come_into_force)
{
    store.append("second");
    reader->onEndKnown(store.end());
    reader->onForwarded({ {}, 1, 2 });
    tickAfter(500ms);
    BOOST_TEST(store.listings.size() == 1U);
    tickAfter(1'000ms);
    BOOST_TEST(store.listings.size() == 2U);
}

// Guards against a node that waits for a version which was not forwarded for as long as later ones are.
BOOST_AUTO_TEST_CASE(A_version_that_was_missed_in_a_series_is_read_while_later_ones_are_forwarded)
{
    for (Offset end = 3; end < 10; ++end) {
        store.append("later");
        reader->onEndKnown({ {}, end });
        reader->onForwarded({ {}, end - 1, end });
        std::this_thread::sleep_for(240ms);
        reader->onTick(MonotonicClock::now());
    }
    BOOST_TEST(store.listings.size() == 2U);
}

BOOST_AUTO_TEST_CASE(A_node_that_does_not_poll_is_idle_until_it_is_told_of_news_that_nobody_forwards)
{
    reader->setPolling(false);
    store.append("second");
    store.reads.front()(publication::KeyedBatch { 2, { store.records.back() } });
    io.run_for(1'200ms);
    BOOST_TEST(store.reads.size() == 1U);
    store.append("third");
    reader->onEndKnown(store.end());
    tickAfter(1'000ms);
    BOOST_REQUIRE(store.reads.size() == 2U);
    store.reads.back()(publication::KeyedBatch { 3, { store.records.back() } });
    BOOST_TEST((delivered == std::vector<std::string> { "first", "second", "third" }));
}

BOOST_AUTO_TEST_CASE(An_idle_node_polls_as_soon_as_it_has_to)
{
    reader->setPolling(false);
    store.append("second");
    store.reads.front()(publication::KeyedBatch { 2, { store.records.back() } });
    io.run_for(1'200ms);
    reader->setPolling(true);
    BOOST_TEST(store.reads.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}
