#include "EntryFixture.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

namespace {

    /// An entry node that knows the mean latency, so that it divides the time of a call between its attempts.
    struct DeadlineFixture : EntryFixture {
        explicit DeadlineFixture(std::uint32_t maxAttempts)
            : EntryFixture({ makeNode("n1", "v1"), makeNode("n2", "v1"), makeNode("n3", "v1") })
        {
            router.setConfiguration(makeConfigurationWithMaxAttempts(maxAttempts));
            const auto call = begin();
            call->start(now);
            call->onAttemptFinished(answered(200), now);
        }

        std::shared_ptr<CallDecision> begin() { return router.begin(makeCall("GET", "/x"), now); }
    };

}

BOOST_AUTO_TEST_SUITE(Attempt_deadline)

BOOST_AUTO_TEST_CASE(The_only_attempt_that_a_route_allows_is_not_cut_short)
{
    DeadlineFixture it { 1 };
    const auto command = it.begin()->start(it.now);
    BOOST_TEST((std::get<SendAttempt>(command).deadline == it.now + 2s));
}

BOOST_AUTO_TEST_CASE(Only_the_last_attempt_that_a_route_allows_gets_all_the_time_left)
{
    DeadlineFixture it { 2 };
    const auto call = it.begin();
    const auto first = call->start(it.now);
    BOOST_TEST((std::get<SendAttempt>(first).deadline == it.now + 1s));
    const auto second = call->onAttemptFinished(ended(Outcome::Unknown, RefusalReason::UpstreamTimeout), it.now + 1s);
    BOOST_TEST((std::get<SendAttempt>(second).deadline == it.now + 2s));
}

BOOST_AUTO_TEST_SUITE_END()

}
