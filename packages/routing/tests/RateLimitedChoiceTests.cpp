#include "EntryFixture.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

namespace {

    constexpr std::uint32_t lessUrgent = 2;

    /// Two upstreams; "GET /bookings" is more urgent than other reads.
    struct RankedFixture : EntryFixture {
        RankedFixture()
            : EntryFixture({ makeNode("n1", "v1"), makeNode("n2", "v1") })
        {
            auto configuration = std::make_shared<publication::ConfigurationVersion>(*makeConfiguration());
            configuration->set.routes.at(RouteName { "read" }).route.priority = lessUrgent;
            router.setConfiguration(configuration);
        }

        std::shared_ptr<CallDecision> begin(const std::string& path) { return router.begin(makeCall("GET", path), now); }

        /// Lets every attempt of a call be refused for the rate. \returns the answer to its caller.
        Refusal refuseEverywhere(const std::string& path, std::chrono::milliseconds wait)
        {
            const auto call = begin(path);
            auto command = call->start(now);
            while (std::holds_alternative<SendAttempt>(command))
                command = call->onAttemptFinished(rateLimited(wait), now);
            return std::get<AnswerRefusal>(command).refusal;
        }

        static AttemptResult rateLimited(std::chrono::milliseconds wait)
        {
            auto it = ended(Outcome::NotRun, RefusalReason::RateLimited, 503);
            it.retryAfter = wait;
            return it;
        }

        /// Ends a call of the path with an answer of its upstream. \returns the node that it was sent to.
        NodeName answer(const std::string& path, const std::optional<NamedRate>& rate)
        {
            const auto call = begin(path);
            const auto attempt = std::get<SendAttempt>(call->start(now));
            auto result = answered(200);
            result.load = UpstreamLoad { 0, 6, 5ms, rate };
            call->onAttemptFinished(result, now);
            return attempt.node;
        }
    };

}

BOOST_FIXTURE_TEST_SUITE(Rate_limited_choice, RankedFixture)

BOOST_AUTO_TEST_CASE(A_call_is_refused_at_once_while_all_upstreams_refuse_calls_of_its_rank_for_their_rate)
{
    refuseEverywhere("/x", 800ms);
    const auto command = begin("/x")->start(now);
    BOOST_REQUIRE(std::holds_alternative<AnswerRefusal>(command));
    const auto refusal = std::get<AnswerRefusal>(command).refusal;
    BOOST_TEST((refusal.reason == RefusalReason::RateLimited));
    BOOST_TEST((refusal.outcome == Outcome::NotRun));
    BOOST_TEST((refusal.retryAfter.value() >= 800ms));
    BOOST_TEST((refusal.retryAfter.value() <= 1200ms));
}

BOOST_AUTO_TEST_CASE(A_more_urgent_call_is_still_offered)
{
    refuseEverywhere("/x", 800ms);
    BOOST_TEST(std::holds_alternative<SendAttempt>(begin("/bookings")->start(now)));
}

BOOST_AUTO_TEST_CASE(A_less_urgent_call_is_not_offered_where_a_more_urgent_one_was_refused)
{
    refuseEverywhere("/bookings", 800ms);
    BOOST_TEST(std::holds_alternative<AnswerRefusal>(begin("/x")->start(now)));
}

BOOST_AUTO_TEST_CASE(Calls_are_offered_again_once_the_wait_is_over)
{
    refuseEverywhere("/x", 800ms);
    now += 801ms;
    BOOST_TEST(std::holds_alternative<SendAttempt>(begin("/x")->start(now)));
}

BOOST_AUTO_TEST_CASE(Calls_go_to_the_upstream_that_has_room)
{
    const auto call = begin("/x");
    const auto full = std::get<SendAttempt>(call->start(now)).node;
    call->onAttemptFinished(rateLimited(800ms), now);
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(answer("/x", std::nullopt) != full);
}

BOOST_AUTO_TEST_CASE(An_upstream_whose_rate_is_used_up_is_avoided_before_it_refuses_a_call)
{
    const auto limited = answer("/x", NamedRate { 2, 500ms });
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(answer("/x", std::nullopt) != limited);
}

BOOST_AUTO_TEST_CASE(The_rate_that_an_upstream_named_is_told_to_its_node_with_the_next_call)
{
    router.setMembership(makeView({ makeNode("n1", "v1") }));
    now += 1s;
    answer("/x", NamedRate { 2, 500ms });
    BOOST_TEST(std::get<SendAttempt>(begin("/x")->start(now)).knownCallsPerSecond.value() == 2);
    answer("/x", std::nullopt);
    BOOST_TEST(!std::get<SendAttempt>(begin("/x")->start(now)).knownCallsPerSecond);
}

BOOST_AUTO_TEST_CASE(The_rate_is_still_known_when_the_node_of_the_upstream_has_restarted)
{
    auto node = makeNode("n1", "v1");
    const auto rateAfter = [&](const Revision& revision, const std::optional<double>& published) {
        node.entry.revision = revision;
        node.entry.upstream->callsPerSecond = published;
        router.setMembership(makeView({ node }));
        now += 1s;
        return std::get<SendAttempt>(begin("/x")->start(now)).knownCallsPerSecond;
    };
    BOOST_TEST(rateAfter({ Incarnation { 1 }, 2 }, 2).value() == 2);
    BOOST_TEST(rateAfter({ Incarnation { 2 }, 1 }, std::nullopt).value() == 2);
    BOOST_TEST(rateAfter({ Incarnation { 2 }, 2 }, std::nullopt).value() == 2);
    BOOST_TEST(rateAfter({ Incarnation { 2 }, 3 }, 4).value() == 4);
    BOOST_TEST(!rateAfter({ Incarnation { 2 }, 4 }, std::nullopt));
}

BOOST_AUTO_TEST_SUITE_END()

}
