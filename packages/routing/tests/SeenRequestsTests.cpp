#include "carobpath/routing/SeenRequests.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace carobpath::routing {

namespace {

    /// Inserts this many requests that occur nowhere else in the tests.
    void insertOthers(SeenRequests& seen, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            seen.insert(RequestId { "other-" + std::to_string(i) });
    }

}

BOOST_AUTO_TEST_SUITE(Seen_requests)

BOOST_AUTO_TEST_CASE(The_oldest_request_is_forgotten_beyond_the_capacity)
{
    SeenRequests seen;
    const RequestId id { "a" };
    BOOST_TEST(seen.insert(id));
    insertOthers(seen, SeenRequests::s_maxRemembered - 1);
    BOOST_TEST(!seen.insert(id));
    seen.insert(RequestId { "b" });
    BOOST_TEST(seen.insert(id));
}

BOOST_AUTO_TEST_CASE(A_request_that_was_forgotten_and_came_again_is_remembered_from_its_second_arrival)
{
    SeenRequests seen;
    const RequestId id { "a" };
    seen.insert(id);
    seen.forget(id);
    insertOthers(seen, SeenRequests::s_maxRemembered - 1);
    BOOST_TEST(seen.insert(id));
    seen.insert(RequestId { "b" });
    BOOST_TEST(!seen.insert(id));
}

BOOST_AUTO_TEST_CASE(Forgotten_requests_take_no_room_from_others)
{
    SeenRequests seen;
    const RequestId id { "a" };
    seen.insert(id);
    for (std::size_t i = 0; i < SeenRequests::s_maxRemembered; ++i) {
        const RequestId refused { "refused-" + std::to_string(i) };
        seen.insert(refused);
        seen.forget(refused);
    }
    BOOST_TEST(!seen.insert(id));
}

BOOST_AUTO_TEST_CASE(Forgetting_an_unknown_request_changes_nothing)
{
    SeenRequests seen;
    const RequestId id { "a" };
    seen.insert(id);
    seen.forget(RequestId { "b" });
    BOOST_TEST(!seen.insert(id));
}

BOOST_AUTO_TEST_SUITE_END()

}
