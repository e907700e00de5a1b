#include "EntryFixture.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

BOOST_AUTO_TEST_SUITE(CallDecisions)

BOOST_AUTO_TEST_CASE(A_call_is_sent_to_an_upstream_and_its_answer_relayed)
{
    EntryFixture fixture { { makeNode("n1", "v1") } };
    const auto call = fixture.router.begin(makeCall("POST", "/bookings/7"), fixture.now);
    const auto first = call->start(fixture.now);
    const auto* sent = std::get_if<SendAttempt>(&first);
    BOOST_REQUIRE(sent);
    BOOST_TEST(sent->node.value() == "n1");
    BOOST_TEST(sent->route.value() == "book");
    BOOST_TEST(std::holds_alternative<RelayAnswer>(call->onAttemptFinished(answered(200), fixture.now + 5ms)));
    BOOST_TEST(call->ended());
}

BOOST_AUTO_TEST_SUITE_END()

}
