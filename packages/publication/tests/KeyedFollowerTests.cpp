#include "carobpath/publication/KeyedFollower.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::publication {

namespace {

    KeyedRecord record(Offset offset, std::string key, std::string value)
    {
        return { offset, std::move(key), std::move(value) };
    }

}

BOOST_AUTO_TEST_SUITE(KeyedFollowers)

BOOST_AUTO_TEST_CASE(A_listing_comes_first_and_reading_goes_on_where_it_ended)
{
    KeyedFollower follower;
    BOOST_TEST(follower.wantsListing());
    BOOST_TEST(!follower.caughtUp());
    const auto news = follower.onBatch({ 7, { record(4, "a", "1"), record(2, "b", "2") } });
    BOOST_REQUIRE_EQUAL(news.size(), 2);
    BOOST_TEST(news.front().key == "b");
    BOOST_TEST(!follower.wantsListing());
    BOOST_TEST(follower.nextRead() == 7);
}

BOOST_AUTO_TEST_CASE(A_record_that_was_seen_is_not_news_again)
{
    KeyedFollower follower;
    follower.onBatch({ 3, { record(2, "a", "new") } });
    BOOST_TEST(follower.onBatch({ 3, { record(1, "a", "old"), record(2, "a", "new") } }).empty());
}

BOOST_AUTO_TEST_CASE(Deleted_records_are_made_good_by_a_new_listing)
{
    KeyedFollower follower;
    follower.onBatch({ 3, { record(2, "a", "1") } });
    follower.onTrimmed();
    BOOST_TEST(follower.wantsListing());
    const auto news = follower.onBatch({ 90, { record(80, "a", "2") } });
    BOOST_REQUIRE_EQUAL(news.size(), 1);
    BOOST_TEST(follower.nextRead() == 90);
}

BOOST_AUTO_TEST_SUITE_END()

}
