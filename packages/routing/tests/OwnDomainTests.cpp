#include "EntryFixture.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

namespace {

    /// A router in amman-a with one upstream there and one elsewhere, and a route with an objective.
    struct OwnDomainFixture {
        EntryRouter router { std::mt19937_64 { 5 } };
        MonotonicTime now { startTime };

        explicit OwnDomainFixture(publication::TrafficClass trafficClass = publication::TrafficClass::Short)
        {
            auto configuration = std::make_shared<publication::ConfigurationVersion>(*makeConfiguration());
            auto& route = configuration->set.routes[RouteName { "read" }].route;
            route.objective = 500ms;
            route.trafficClass = trafficClass;
            EntryPolicy policy;
            policy.localDomainFirst = true;
            policy.splitDeadline = false;
            policy.maxCandidates = 6;
            router.setPolicy(policy);
            router.setConfiguration(configuration);
            router.setLocalNode(NodeName { "self" }, FailureDomainName { "amman-a" });
            router.setMembership(makeView({ makeNode("near", "v1", "amman-a"), makeNode("far", "v1", "amman-b") }));
            router.setReady(true);
        }
    };

    AttemptResult overloaded(std::chrono::milliseconds wait)
    {
        AttemptResult it;
        it.outcome = Outcome::NotRun;
        it.reason = RefusalReason::Overloaded;
        it.status = 503;
        it.retryAfter = wait;
        return it;
    }

}

BOOST_AUTO_TEST_SUITE(Own_domain_first)

BOOST_AUTO_TEST_CASE(Every_call_is_offered_to_the_own_domain_first)
{
    OwnDomainFixture fixture;
    for (int i = 0; i < 50; ++i) {
        const auto call = fixture.router.begin(makeCall("GET", "/x"), fixture.now);
        BOOST_TEST(std::get<SendAttempt>(call->start(fixture.now)).node.value() == "near");
    }
}

BOOST_AUTO_TEST_CASE(A_call_that_the_own_domain_refuses_for_load_goes_elsewhere_with_its_whole_objective)
{
    OwnDomainFixture fixture;
    const auto call = fixture.router.begin(makeCall("GET", "/x"), fixture.now);
    const auto first = std::get<SendAttempt>(call->start(fixture.now));
    const auto second = std::get<SendAttempt>(call->onAttemptFinished(overloaded(300ms), fixture.now));
    BOOST_TEST(second.node.value() == "far");
    BOOST_CHECK(*first.objective < fixture.now + 500ms);
    BOOST_CHECK(*second.objective == fixture.now + 500ms);
}

BOOST_AUTO_TEST_CASE(A_call_that_three_places_of_a_large_own_domain_refuse_goes_elsewhere)
{
    OwnDomainFixture fixture;
    std::vector<membership::KnownNode> nodes { makeNode("far", "v1", "amman-b") };
    for (int i = 0; i < 10; ++i)
        nodes.push_back(makeNode("near-" + std::to_string(i), "v1", "amman-a"));
    fixture.router.setMembership(makeView(nodes));
    const auto call = fixture.router.begin(makeCall("GET", "/x"), fixture.now);
    auto attempt = std::get<SendAttempt>(call->start(fixture.now));
    for (int i = 0; i < 2; ++i) {
        BOOST_TEST(attempt.node.value() != "far");
        attempt = std::get<SendAttempt>(call->onAttemptFinished(overloaded(300ms), fixture.now));
    }
    BOOST_TEST(attempt.node.value() != "far");
    attempt = std::get<SendAttempt>(call->onAttemptFinished(overloaded(300ms), fixture.now));
    BOOST_TEST(attempt.node.value() == "far");
}

BOOST_AUTO_TEST_CASE(Where_all_refuse_the_shortest_wait_is_taken_once_and_then_the_caller_is_told)
{
    OwnDomainFixture fixture;
    const auto call = fixture.router.begin(makeCall("GET", "/x"), fixture.now);
    call->start(fixture.now);
    call->onAttemptFinished(overloaded(100ms), fixture.now);
    const auto late = std::get<SendAttempt>(call->onAttemptFinished(overloaded(400ms), fixture.now));
    BOOST_TEST(late.node.value() == "near");
    BOOST_TEST(late.mayBeLate);
    const auto refusal = std::get<AnswerRefusal>(call->onAttemptFinished(overloaded(100ms), fixture.now)).refusal;
    BOOST_CHECK(refusal.outcome == Outcome::NotRun);
    BOOST_TEST(refusal.retryAfter.has_value());
}

BOOST_AUTO_TEST_CASE(A_download_rather_waits_in_the_own_domain)
{
    OwnDomainFixture fixture { publication::TrafficClass::Download };
    const auto call = fixture.router.begin(makeCall("GET", "/x"), fixture.now);
    call->start(fixture.now);
    const auto late = std::get<SendAttempt>(call->onAttemptFinished(overloaded(100ms), fixture.now));
    BOOST_TEST(late.node.value() == "near");
    const auto elsewhere = std::get<SendAttempt>(call->onAttemptFinished(overloaded(100ms), fixture.now));
    BOOST_TEST(elsewhere.node.value() == "far");
}

BOOST_AUTO_TEST_CASE(A_caller_that_has_waited_before_has_less_time_to_its_objective)
{
    OwnDomainFixture fixture;
    auto request = makeCall("GET", "/x");
    request.callerTimeout = 1700ms;
    const auto call = fixture.router.begin(request, fixture.now);
    call->start(fixture.now);
    const auto second = std::get<SendAttempt>(call->onAttemptFinished(overloaded(100ms), fixture.now));
    BOOST_CHECK(*second.objective == fixture.now + 200ms);
}

BOOST_AUTO_TEST_SUITE_END()

}
