#include "EntryFixture.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

namespace {

    /// The first attempt of a call on a route with the given timeout.
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

BOOST_AUTO_TEST_SUITE(Inactivity_timeout)

BOOST_AUTO_TEST_CASE(Is_a_quarter_of_the_time_left_of_a_repeatable_call_and_at_least_the_minimum)
{
    EntryFixture fixture { { makeNode("n1", "v1") } };
    BOOST_TEST((firstAttempt(fixture, makeCall("GET", "/x"), 1200ms).inactivityTimeout == 700ms));
    BOOST_TEST((firstAttempt(fixture, makeCall("GET", "/x"), 4000ms).inactivityTimeout == 1000ms));
}

BOOST_AUTO_TEST_CASE(Does_not_apply_to_a_call_that_may_not_be_repeated)
{
    EntryFixture fixture { { makeNode("n1", "v1") } };
    BOOST_TEST(!firstAttempt(fixture, makeCall("POST", "/bookings"), 4000ms).inactivityTimeout.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}
