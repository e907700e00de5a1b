#include "carobpath/publication/KeyedFollower.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::publication {

namespace {

    KeyedRecord record(Offset offset, std::string key, std::string value)
    {
        return { offset, std::move(key), std::move(value) };
    }

    /// A follower that has listed an empty stream.
    KeyedFollower caughtUp()
    {
        KeyedFollower follower;
        follower.onBatch({ 0, {} });
        return follower;
    }

    /// A follower that has listed a record that it refused, and is to read on from offset 2.
    KeyedFollower afterRefusedListing()
    {
        auto follower = caughtUp();
        follower.onBatch({ 2, { record(0, "a", "1"), record(1, "a", "2") } });
        follower.onRefused(follower.onBatch({ 7, { record(6, "a", "wrong") } }).front());
        return follower;
    }

    std::vector<Offset> offsetsOf(const KeyUpdates& updates)
    {
        std::vector<Offset> offsets;
        for (const auto& it : updates)
            offsets.push_back(it.offset);
        return offsets;
    }

}

BOOST_AUTO_TEST_SUITE(KeyedFollowers)

BOOST_AUTO_TEST_CASE(A_listing_is_requested_first_and_reading_continues_after_it)
{
    KeyedFollower follower;
    BOOST_TEST(follower.needsListing());
    const auto updates = follower.onBatch({ 7, { record(4, "a", "1"), record(2, "b", "2") } });
    BOOST_REQUIRE_EQUAL(updates.size(), 2);
    BOOST_TEST(updates.front().front().key == "b");
    BOOST_TEST(!follower.needsListing());
    BOOST_TEST(!follower.shouldPause());
    BOOST_TEST(follower.nextRead() == 7);
}

BOOST_AUTO_TEST_CASE(A_known_record_is_not_reported_again)
{
    KeyedFollower follower;
    follower.onBatch({ 3, { record(2, "a", "new") } });
    BOOST_TEST(follower.onBatch({ 3, { record(1, "a", "old"), record(2, "a", "new") } }).empty());
    BOOST_TEST(!follower.shouldPause());
}

BOOST_AUTO_TEST_CASE(A_new_listing_is_requested_after_records_were_deleted)
{
    KeyedFollower follower;
    follower.onBatch({ 3, { record(2, "a", "1") } });
    follower.onTrimmed();
    BOOST_TEST(follower.needsListing());
    const auto updates = follower.onBatch({ 90, { record(80, "a", "2") } });
    BOOST_REQUIRE_EQUAL(updates.size(), 1);
    BOOST_TEST(follower.nextRead() == 90);
}

BOOST_AUTO_TEST_CASE(After_a_single_change_reading_continues_without_a_listing)
{
    auto follower = caughtUp();
    follower.onBatch({ 1, { record(0, "a", "1") } });
    BOOST_TEST(follower.shouldPause());
    BOOST_TEST(!follower.needsListing());
}

BOOST_AUTO_TEST_CASE(The_updates_of_a_key_are_ordered_newest_first)
{
    auto follower = caughtUp();
    const auto updates = follower.onBatch({ 4, { record(0, "a", "1"), record(1, "b", "1"), record(2, "a", "2"), record(3, "a", "3") } });
    BOOST_REQUIRE_EQUAL(updates.size(), 2);
    BOOST_TEST((offsetsOf(updates[0]) == std::vector<Offset> { 1 }));
    BOOST_TEST((offsetsOf(updates[1]) == std::vector<Offset> { 3, 2, 0 }));
}

BOOST_AUTO_TEST_CASE(A_key_that_changes_faster_than_it_is_read_is_listed_until_it_stops_changing)
{
    auto follower = caughtUp();
    follower.onBatch({ 2, { record(0, "a", "1"), record(1, "a", "2") } });
    BOOST_TEST(follower.needsListing());
    follower.onBatch({ 7, { record(6, "a", "7") } });
    BOOST_TEST(follower.needsListing());
    BOOST_TEST(follower.shouldPause());
    follower.onBatch({ 7, { record(6, "a", "7") } });
    BOOST_TEST(!follower.needsListing());
    BOOST_TEST(!follower.shouldPause());
    BOOST_TEST(follower.nextRead() == 7);
}

BOOST_AUTO_TEST_CASE(Records_that_a_listing_omitted_are_read_if_the_newest_record_is_refused)
{
    auto follower = caughtUp();
    follower.onBatch({ 2, { record(0, "a", "1"), record(1, "a", "2") } });
    const auto listed = follower.onBatch({ 5, { record(4, "a", "wrong") } });
    follower.onRefused(listed.front());
    BOOST_TEST(!follower.needsListing());
    BOOST_TEST(follower.nextRead() == 2);
    const auto read = follower.onBatch({ 5, { record(2, "a", "3"), record(3, "a", "4"), record(4, "a", "wrong") } });
    BOOST_REQUIRE_EQUAL(read.size(), 1);
    BOOST_TEST((offsetsOf(read.front()) == std::vector<Offset> { 3, 2 }));
}

BOOST_AUTO_TEST_CASE(Offsets_that_are_given_out_again_in_a_later_era_are_not_taken_for_known_ones)
{
    auto follower = caughtUp();
    follower.onBatch({ 9, { record(8, "a", "lost") } });
    BOOST_TEST(follower.onEra({ 1 }));
    BOOST_TEST(follower.needsListing());
    const auto updates = follower.onBatch({ 6, { record(3, "a", "kept") }, { 1 } });
    BOOST_REQUIRE_EQUAL(updates.size(), 1);
    BOOST_TEST((follower.position() == StreamPosition { { 1 }, 6 }));
    BOOST_TEST(!follower.needsListing());
}

BOOST_AUTO_TEST_CASE(A_read_that_is_answered_in_a_later_era_does_not_hide_the_records_before_its_position)
{
    auto follower = caughtUp();
    follower.onBatch({ 9, { record(8, "a", "1") } });
    const KeyedBatch grownAgain { 12, { record(9, "b", "1") }, { 1 } };
    BOOST_TEST(!follower.accepts(grownAgain));
    BOOST_TEST(follower.onEra(grownAgain.era));
    BOOST_TEST(follower.accepts(grownAgain));
}

BOOST_AUTO_TEST_CASE(An_answer_of_an_earlier_era_is_not_accepted)
{
    auto follower = caughtUp();
    follower.onEra({ 2 });
    BOOST_TEST(!follower.accepts({ 9, { record(8, "a", "lost") }, { 1 } }));
    BOOST_TEST(!follower.onEra({ 1 }));
    BOOST_TEST(!follower.onEra({ 2 }));
    BOOST_TEST(follower.accepts({ 1, {}, { 2 } }));
}

BOOST_AUTO_TEST_CASE(A_refused_record_from_a_read_causes_no_second_read)
{
    auto follower = caughtUp();
    follower.onRefused(follower.onBatch({ 1, { record(0, "a", "wrong") } }).front());
    BOOST_TEST(follower.nextRead() == 1);
    BOOST_TEST(follower.shouldPause());
}

BOOST_AUTO_TEST_CASE(All_records_that_a_listing_omitted_are_read_if_one_answer_does_not_hold_them)
{
    auto follower = afterRefusedListing();
    follower.onBatch({ 4, { record(2, "a", "3"), record(3, "a", "4") } });
    BOOST_TEST(!follower.needsListing());
    BOOST_TEST(!follower.shouldPause());
    BOOST_REQUIRE_EQUAL(follower.nextRead(), 4);
    const auto read = follower.onBatch({ 7, { record(4, "a", "5"), record(5, "a", "6"), record(6, "a", "wrong") } });
    BOOST_REQUIRE_EQUAL(read.size(), 1);
    BOOST_TEST((offsetsOf(read.front()) == std::vector<Offset> { 5, 4 }));
    BOOST_TEST(follower.nextRead() == 7);
}

BOOST_AUTO_TEST_CASE(Records_that_a_listing_omitted_are_read_if_the_first_read_of_them_fails)
{
    auto follower = afterRefusedListing();
    follower.onInterrupted();
    BOOST_TEST(follower.needsListing());
    BOOST_TEST(follower.onBatch({ 7, { record(6, "a", "wrong") } }).empty());
    BOOST_TEST(!follower.needsListing());
    BOOST_TEST(follower.nextRead() == 2);
}

BOOST_AUTO_TEST_CASE(Records_that_a_listing_omitted_are_skipped_once_a_newer_one_is_listed)
{
    auto follower = afterRefusedListing();
    follower.onInterrupted();
    follower.onBatch({ 8, { record(6, "a", "wrong"), record(7, "b", "1") } });
    BOOST_TEST(follower.nextRead() == 2);
    follower.onInterrupted();
    follower.onBatch({ 9, { record(8, "a", "9"), record(7, "b", "1") } });
    BOOST_TEST(follower.nextRead() == 9);
}

BOOST_AUTO_TEST_CASE(Records_that_a_listing_omitted_are_given_up_once_they_are_deleted)
{
    auto follower = afterRefusedListing();
    follower.onTrimmed();
    follower.onBatch({ 7, { record(6, "a", "wrong") } });
    BOOST_TEST(!follower.needsListing());
    BOOST_TEST(follower.nextRead() == 7);
}

BOOST_AUTO_TEST_CASE(Two_keys_whose_newest_records_are_refused_keep_the_records_before_them)
{
    auto follower = caughtUp();
    follower.onBatch({ 2, { record(0, "a", "1"), record(1, "a", "2") } });
    for (const auto& it : follower.onBatch({ 8, { record(5, "a", "wrong"), record(7, "b", "wrong") } }))
        follower.onRefused(it);
    BOOST_TEST(!follower.needsListing());
    BOOST_TEST(follower.nextRead() == 2);
    const auto updates = follower.onBatch({ 8, { record(3, "a", "3"), record(4, "b", "1"), record(5, "a", "wrong"), record(6, "a", "wrong"), record(7, "b", "wrong") } });
    BOOST_REQUIRE_EQUAL(updates.size(), 2);
    for (const auto& it : updates)
        BOOST_TEST(it.back().value.value() != "wrong");
}

BOOST_AUTO_TEST_CASE(A_refused_record_between_two_good_ones_hides_neither)
{
    auto follower = caughtUp();
    const auto updates = follower.onBatch({ 3, { record(0, "a", "1"), record(1, "a", "wrong"), record(2, "a", "3") } });
    BOOST_REQUIRE_EQUAL(updates.size(), 1);
    BOOST_TEST((offsetsOf(updates.front()) == std::vector<Offset> { 2, 1, 0 }));
    const auto next = follower.onBatch({ 5, { record(3, "a", "wrong"), record(4, "a", "5") } });
    BOOST_REQUIRE_EQUAL(next.size(), 1);
    BOOST_TEST(next.front().front().offset == 4);
}

BOOST_AUTO_TEST_CASE(A_span_holds_the_records_of_one_key_up_to_the_position)
{
    KeyedFollower follower;
    follower.onBatch({ 5, { record(2, "b", "1"), record(4, "a", "1") } });
    BOOST_TEST((follower.spanOf("a") == RecordSpan { {}, 3, 5 }));
    BOOST_TEST(!follower.spanOf("b").has_value());
    follower.onBatch({ 7, { record(5, "a", "2"), record(6, "a", "3") } });
    BOOST_TEST((follower.spanOf("a") == RecordSpan { {}, 3, 7 }));
    follower.onBatch({ 9, { record(7, "b", "2"), record(8, "a", "4") } });
    BOOST_TEST((follower.spanOf("a") == RecordSpan { {}, 8, 9 }));
    follower.onBatch({ 10, { record(9, "b", "3") } });
    BOOST_TEST(!follower.spanOf("a").has_value());
}

BOOST_AUTO_TEST_CASE(A_span_ends_before_an_entry_that_cannot_be_read)
{
    KeyedFollower follower;
    follower.onBatch({ 2, { record(1, "a", "1") } });
    follower.onBatch({ 4, { record(3, "a", "2") }, {}, 1 });
    BOOST_TEST(!follower.spanOf("a").has_value());
}

BOOST_AUTO_TEST_CASE(Only_records_that_adjoin_the_position_are_skipped)
{
    KeyedFollower follower;
    follower.onBatch({ 3, { record(2, "a", "1") } });
    BOOST_TEST(!follower.skip("a", { {}, 4, 6 }));
    BOOST_TEST(!follower.skip("a", { {}, 0, 3 }));
    BOOST_TEST(!follower.skip("a", { StoreEra { 1 }, 0, 6 }));
    BOOST_TEST(follower.skip("a", { {}, 1, 6 }));
    BOOST_TEST(follower.nextRead() == 6);
    BOOST_TEST((follower.spanOf("a") == RecordSpan { {}, 0, 6 }));
}

BOOST_AUTO_TEST_CASE(An_answer_that_was_on_its_way_does_not_lead_back_before_skipped_records)
{
    KeyedFollower follower;
    follower.onBatch({ 3, { record(2, "a", "1") } });
    follower.skip("a", { {}, 3, 6 });
    BOOST_TEST(follower.onBatch({ 4, { record(3, "a", "2") } }).empty());
    BOOST_TEST(follower.nextRead() == 6);
    BOOST_TEST(follower.shouldPause());
}

BOOST_AUTO_TEST_CASE(A_stream_that_was_recreated_is_read_from_its_start_after_skipped_records)
{
    KeyedFollower follower;
    follower.onBatch({ 3, { record(2, "a", "1") } });
    follower.skip("a", { {}, 3, 6 });
    follower.onTrimmed();
    follower.onBatch({ 2, { record(1, "b", "1") } });
    BOOST_TEST(follower.nextRead() == 2);
}

BOOST_AUTO_TEST_CASE(A_node_that_has_listed_nothing_yet_skips_no_records)
{
    KeyedFollower follower;
    BOOST_TEST(!follower.skip("a", { {}, 0, 6 }));
    BOOST_TEST(follower.needsListing());
}

BOOST_AUTO_TEST_SUITE_END()

}
