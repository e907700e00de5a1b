#include "EntryFixture.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

namespace {

    /// A router in amman-a with one local and one remote upstream and a route with an objective.
    struct LocalDomainFixture {
        EntryRouter router { std::mt19937_64 { 5 } };
        MonotonicTime now { startTime };

        explicit LocalDomainFixture(publication::TrafficClass trafficClass = publication::TrafficClass::Short)
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

BOOST_AUTO_TEST_SUITE(Local_domain_first)

BOOST_AUTO_TEST_CASE(Every_call_is_offered_to_the_local_domain_first)
{
    LocalDomainFixture fixture;
    for (int i = 0; i < 50; ++i) {
        const auto call = fixture.router.begin(makeCall("GET", "/x"), fixture.now);
        BOOST_TEST(std::get<SendAttempt>(call->start(fixture.now)).node.value() == "near");
    }
}

BOOST_AUTO_TEST_CASE(A_call_that_the_local_domain_refuses_for_load_is_sent_to_a_remote_domain_with_its_full_objective)
{
    LocalDomainFixture fixture;
    const auto call = fixture.router.begin(makeCall("GET", "/x"), fixture.now);
    const auto first = std::get<SendAttempt>(call->start(fixture.now));
    const auto second = std::get<SendAttempt>(call->onAttemptFinished(overloaded(300ms), fixture.now));
    BOOST_TEST(second.node.value() == "far");
    BOOST_CHECK(*first.objective < fixture.now + 500ms);
    BOOST_CHECK(*second.objective == fixture.now + 500ms);
}

BOOST_AUTO_TEST_CASE(A_call_that_three_nodes_of_a_large_local_domain_refuse_is_sent_to_a_remote_domain)
{
    LocalDomainFixture fixture;
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

BOOST_AUTO_TEST_CASE(If_all_nodes_refuse_the_one_with_the_shortest_wait_is_tried_once_more_before_the_caller_is_refused)
{
    LocalDomainFixture fixture;
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

BOOST_AUTO_TEST_CASE(A_download_waits_in_the_local_domain_before_it_is_sent_to_a_remote_one)
{
    LocalDomainFixture fixture { publication::TrafficClass::Download };
    const auto call = fixture.router.begin(makeCall("GET", "/x"), fixture.now);
    call->start(fixture.now);
    const auto late = std::get<SendAttempt>(call->onAttemptFinished(overloaded(100ms), fixture.now));
    BOOST_TEST(late.node.value() == "near");
    const auto remote = std::get<SendAttempt>(call->onAttemptFinished(overloaded(100ms), fixture.now));
    BOOST_TEST(remote.node.value() == "far");
}

// Guards against callers who come back late and take the place of those who can still be answered in time.
BOOST_AUTO_TEST_CASE(A_caller_who_comes_back_has_the_rest_of_its_objective_though_its_timeout_exceeds_the_route)
{
    LocalDomainFixture fixture;
    const auto objective = [&](std::chrono::milliseconds timeout, bool isOnNewConnection) {
        auto call = makeCall("GET", "/x");
        call.callerTimeout = timeout;
        call.isOnNewConnection = isOnNewConnection;
        fixture.now += 10s;
        const auto decision = fixture.router.begin(call, fixture.now);
        decision->start(fixture.now);
        const auto command = decision->onAttemptFinished(overloaded(100ms), fixture.now);
        return std::get<SendAttempt>(command).objective.value() - fixture.now;
    };
    for (int i = 0; i < 20; ++i)
        BOOST_CHECK(objective(4000ms, false) == 500ms);
    BOOST_CHECK(objective(3800ms, true) == 300ms);
    BOOST_CHECK(objective(3000ms, true) == -500ms);
}

// Guards against callers with a shorter timeout than most who are taken for late at each try.
BOOST_AUTO_TEST_CASE(A_call_on_a_connection_that_was_used_before_has_its_full_objective_whatever_timeout_it_names)
{
    LocalDomainFixture fixture;
    for (int i = 0; i < 50; ++i) {
        auto call = makeCall("GET", "/x");
        call.callerTimeout = i % 10 == 0 ? 1000ms : 4000ms;
        call.isOnNewConnection = false;
        fixture.now += 1s;
        const auto decision = fixture.router.begin(call, fixture.now);
        decision->start(fixture.now);
        BOOST_TEST(decision->waitedBefore().count() == 0);
    }
}

// Guards against downloads that are held back for calls with next to no time left.
BOOST_AUTO_TEST_CASE(Only_the_first_attempt_of_a_caller_who_has_not_waited_is_told_to_be_the_first_of_all)
{
    LocalDomainFixture fixture;
    const auto call = fixture.router.begin(makeCall("GET", "/x"), fixture.now);
    BOOST_TEST(std::get<SendAttempt>(call->start(fixture.now)).isFirstOfAll);
    BOOST_TEST(!std::get<SendAttempt>(call->onAttemptFinished(overloaded(100ms), fixture.now)).isFirstOfAll);
    auto again = makeCall("GET", "/x");
    again.callerTimeout = 1700ms;
    BOOST_TEST(!std::get<SendAttempt>(fixture.router.begin(again, fixture.now)->start(fixture.now)).isFirstOfAll);
}

BOOST_AUTO_TEST_CASE(Time_that_the_caller_has_already_waited_reduces_the_time_to_the_objective)
{
    LocalDomainFixture fixture;
    auto request = makeCall("GET", "/x");
    request.callerTimeout = 1700ms;
    const auto call = fixture.router.begin(request, fixture.now);
    call->start(fixture.now);
    const auto second = std::get<SendAttempt>(call->onAttemptFinished(overloaded(100ms), fixture.now));
    BOOST_CHECK(*second.objective == fixture.now + 200ms);
}

BOOST_AUTO_TEST_SUITE_END()

}
