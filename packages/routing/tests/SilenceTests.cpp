#include "EntryFixture.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

namespace {

    /// The first attempt of a call on a route with the timeout.
    SendAttempt firstAttempt(EntryFixture& fixture, const CallRequest& request, std::chrono::milliseconds timeout)
    {
        auto configuration = std::make_shared<publication::ConfigurationVersion>(*makeConfiguration());
        for (auto& [name, entry] : configuration->set.routes)
            entry.route.timeout = timeout;
        fixture.router.setConfiguration(configuration);
        const auto call = fixture.router.begin(request, fixture.now);
        return std::get<SendAttempt>(call->start(fixture.now));
    }

}

BOOST_AUTO_TEST_SUITE(The_silence_of_another_node)

BOOST_AUTO_TEST_CASE(Ends_an_attempt_that_may_be_repeated_after_a_quarter_of_its_time_and_no_sooner_than_the_shortest_silence)
{
    EntryFixture fixture { { makeNode("n1", "v1") } };
    BOOST_TEST((firstAttempt(fixture, makeCall("GET", "/x"), 1200ms).inactivityTimeout == 700ms));
    BOOST_TEST((firstAttempt(fixture, makeCall("GET", "/x"), 4000ms).inactivityTimeout == 1000ms));
}

BOOST_AUTO_TEST_CASE(Does_not_end_an_attempt_that_may_not_be_repeated)
{
    EntryFixture fixture { { makeNode("n1", "v1") } };
    BOOST_TEST(!firstAttempt(fixture, makeCall("POST", "/bookings"), 4000ms).inactivityTimeout.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}
