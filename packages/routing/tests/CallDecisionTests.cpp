#include "EntryFixture.h"

#include "carobpath/routing/UpstreamPicker.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace carobpath::routing::tests {

namespace {

    /// Command that a decision gives after the end of an attempt.
    enum class Next : std::uint8_t { SendAgain,
        Relay,
        RefuseNotRun,
        RefuseUnknown };

    Next nextOf(const CallCommand& command)
    {
        if (std::holds_alternative<SendAttempt>(command))
            return Next::SendAgain;
        if (std::holds_alternative<RelayAnswer>(command))
            return Next::Relay;
        const auto& refusal = std::get<AnswerRefusal>(command).refusal;
        return refusal.outcome == Outcome::NotRun ? Next::RefuseNotRun : Next::RefuseUnknown;
    }

    struct AttemptRow {
        const char* name;
        AttemptResult result;
        Next notRepeatable;
        Next repeatable;
    };

    const AttemptRow attemptRows[] {
        { "no connection to the node", ended(Outcome::NotRun, RefusalReason::UpstreamUnreachable), Next::SendAgain,
            Next::SendAgain },
        { "no connection to the backend server", ended(Outcome::NotRun, RefusalReason::UpstreamUnreachable, 502),
            Next::SendAgain, Next::SendAgain },
        { "refused as draining", ended(Outcome::NotRun, RefusalReason::Draining, 503), Next::SendAgain,
            Next::SendAgain },
        { "refused for load", ended(Outcome::NotRun, RefusalReason::Overloaded, 503), Next::SendAgain,
            Next::SendAgain },
        { "refused as another version", ended(Outcome::NotRun, RefusalReason::NoUpstream, 503), Next::SendAgain,
            Next::SendAgain },
        { "refused by the backend server", ended(Outcome::NotRun, RefusalReason::UpstreamRefused, 503),
            Next::SendAgain, Next::SendAgain },
        { "connection lost after a byte", ended(Outcome::Unknown, RefusalReason::UpstreamConnectionLost),
            Next::RefuseUnknown, Next::SendAgain },
        { "backend server's connection lost", ended(Outcome::Unknown, RefusalReason::UpstreamConnectionLost, 502),
            Next::RefuseUnknown, Next::SendAgain },
        { "unresponsive until the attempt's deadline", ended(Outcome::Unknown, RefusalReason::UpstreamTimeout),
            Next::RefuseUnknown, Next::SendAgain },
        { "answered", answered(200), Next::Relay, Next::Relay },
        { "answered as not found", answered(404), Next::Relay, Next::Relay },
        { "answered with a server error", answered(500), Next::Relay, Next::SendAgain },
        { "answered as not implemented", answered(501), Next::Relay, Next::Relay },
        { "refused as malformed", ended(Outcome::NotRun, RefusalReason::MalformedRequest, 400), Next::RefuseNotRun,
            Next::RefuseNotRun },
        { "refused as quarantined", ended(Outcome::NotRun, RefusalReason::Quarantined, 422), Next::RefuseNotRun,
            Next::RefuseNotRun },
        { "arrived twice", ended(Outcome::Unknown, RefusalReason::DuplicateInProgress, 409), Next::RefuseUnknown,
            Next::RefuseUnknown },
    };

    std::vector<membership::KnownNode> threeNodes()
    {
        return { makeNode("n1", "v1"), makeNode("n2", "v1", "amman-b"), makeNode("n3", "v1", "amman-c") };
    }

    CallCommand startOf(EntryFixture& fixture, std::shared_ptr<CallDecision>& call, const CallRequest& request)
    {
        call = fixture.router.begin(request, fixture.now);
        return call->start(fixture.now);
    }

    Refusal refusalOf(const CallCommand& command) { return std::get<AnswerRefusal>(command).refusal; }

    moves::TrafficSplit shareOf(double next)
    {
        return { VersionName { "v1" }, VersionName { "v2" }, next, {} };
    }

}

BOOST_AUTO_TEST_SUITE(CallDecisions)

BOOST_AUTO_TEST_CASE(The_end_of_an_attempt_decides_whether_the_call_is_sent_again)
{
    for (const auto& row : attemptRows) {
        for (const bool repeatable : { false, true }) {
            BOOST_TEST_CONTEXT(row.name << ", repeatable " << repeatable)
            {
                EntryFixture fixture { threeNodes() };
                std::shared_ptr<CallDecision> call;
                const auto request = repeatable ? makeCall("GET", "/x") : makeCall("POST", "/bookings");
                const auto first = startOf(fixture, call, request);
                const auto second = call->onAttemptFinished(row.result, fixture.now + 5ms);
                BOOST_TEST((nextOf(second) == (repeatable ? row.repeatable : row.notRepeatable)));
                if (const auto* again = std::get_if<SendAttempt>(&second)) {
                    BOOST_TEST(again->node.value() != std::get<SendAttempt>(first).node.value());
                    BOOST_TEST(again->number == 2U);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(A_call_is_not_reported_as_not_run_after_an_attempt_of_unknown_outcome)
{
    EntryFixture fixture { threeNodes() };
    std::shared_ptr<CallDecision> call;
    startOf(fixture, call, makeCall("GET", "/x"));
    auto command = call->onAttemptFinished(ended(Outcome::Unknown, RefusalReason::UpstreamTimeout), fixture.now);
    while (std::holds_alternative<SendAttempt>(command))
        command = call->onAttemptFinished(ended(Outcome::NotRun, RefusalReason::Overloaded, 503), fixture.now);
    BOOST_TEST((refusalOf(command).outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(Each_upstream_is_tried_once_and_then_the_call_is_refused_with_a_retry_delay)
{
    EntryFixture fixture { threeNodes() };
    std::shared_ptr<CallDecision> call;
    auto command = startOf(fixture, call, makeCall("POST", "/bookings"));
    std::set<std::string> tried;
    while (const auto* sent = std::get_if<SendAttempt>(&command)) {
        BOOST_REQUIRE(tried.insert(sent->node.value()).second);
        command = call->onAttemptFinished(ended(Outcome::NotRun, RefusalReason::Draining, 503), fixture.now);
    }
    BOOST_TEST(tried.size() == 3U);
    BOOST_TEST((refusalOf(command).reason == RefusalReason::Draining));
    BOOST_TEST(refusalOf(command).retryAfter.has_value());
}

BOOST_AUTO_TEST_CASE(A_call_is_not_retried_after_two_backend_servers_lost_their_connection_while_running_it)
{
    EntryFixture fixture { threeNodes() };
    std::shared_ptr<CallDecision> call;
    auto command = startOf(fixture, call, makeCall("GET", "/catalog"));
    const auto broken = ended(Outcome::Unknown, RefusalReason::UpstreamConnectionLost, 502);
    command = call->onAttemptFinished(broken, fixture.now);
    BOOST_TEST((nextOf(command) == Next::SendAgain));
    command = call->onAttemptFinished(broken, fixture.now);
    BOOST_TEST((nextOf(command) == Next::RefuseUnknown));
}

BOOST_AUTO_TEST_CASE(A_call_whose_body_was_not_buffered_is_not_retried)
{
    EntryFixture fixture { threeNodes() };
    std::shared_ptr<CallDecision> call;
    auto request = makeCall("GET", "/x");
    request.bodyReplayable = false;
    startOf(fixture, call, request);
    const auto command = call->onAttemptFinished(ended(Outcome::NotRun, RefusalReason::Overloaded, 503), fixture.now);
    BOOST_TEST((nextOf(command) == Next::RefuseNotRun));
}

BOOST_AUTO_TEST_CASE(Retries_that_load_backend_servers_stop_when_the_retry_budget_is_exhausted)
{
    EntryFixture fixture { threeNodes() };
    int sent = 0;
    int exhausted = 0;
    for (int i = 0; i < 200; ++i) {
        std::shared_ptr<CallDecision> call;
        auto command = startOf(fixture, call, makeCall("GET", "/x"));
        while (std::holds_alternative<SendAttempt>(command)) {
            ++sent;
            command = call->onAttemptFinished(ended(Outcome::NotRun, RefusalReason::UpstreamRefused, 503), fixture.now);
        }
        exhausted += refusalOf(command).reason == RefusalReason::RetryBudgetExhausted ? 1 : 0;
    }
    // Three attempts for each call would be 600.
    BOOST_TEST(sent <= 200 + RetryAllowance {}.capacity + 200 * RetryAllowance {}.perCall);
    BOOST_TEST(exhausted > 100);
}

BOOST_AUTO_TEST_CASE(Attempts_that_reached_no_backend_server_use_no_retry_budget)
{
    EntryFixture fixture { threeNodes() };
    for (int i = 0; i < 200; ++i) {
        std::shared_ptr<CallDecision> call;
        startOf(fixture, call, makeCall("POST", "/bookings"));
        // Each node's refusal expires before the next call.
        fixture.now += UpstreamStatistics::s_notServingTime;
        const auto reason = i % 2 == 0 ? RefusalReason::Draining : RefusalReason::UpstreamUnreachable;
        const auto command = call->onAttemptFinished(ended(Outcome::NotRun, reason, 503), fixture.now - UpstreamStatistics::s_notServingTime);
        BOOST_REQUIRE(std::holds_alternative<SendAttempt>(command));
        call->onAttemptFinished(answered(200), fixture.now);
    }
}

BOOST_AUTO_TEST_CASE(The_deadline_ends_a_call_with_its_known_outcome)
{
    EntryFixture fixture { threeNodes() };
    std::shared_ptr<CallDecision> call;
    startOf(fixture, call, makeCall("POST", "/bookings"));
    BOOST_TEST(!call->onDeadline(fixture.now + 1999ms));
    const auto command = call->onDeadline(fixture.now + 2s);
    BOOST_REQUIRE(command);
    const Refusal expected { Outcome::Unknown, RefusalReason::DeadlineExceeded, std::nullopt };
    BOOST_TEST((refusalOf(*command) == expected));
    BOOST_TEST(!call->onDeadline(fixture.now + 3s));
    // A result that arrives too late changes nothing.
    BOOST_TEST((refusalOf(call->onAttemptFinished(answered(200), fixture.now + 3s)) == expected));
}

BOOST_AUTO_TEST_CASE(The_callers_own_timeout_bounds_the_deadline)
{
    EntryFixture fixture { threeNodes() };
    std::shared_ptr<CallDecision> call;
    auto request = makeCall("POST", "/bookings");
    request.callerTimeout = 300ms;
    const auto command = startOf(fixture, call, request);
    BOOST_TEST((std::get<SendAttempt>(command).deadline == fixture.now + 300ms));
    request.callerTimeout = 1h;
    BOOST_TEST((std::get<SendAttempt>(startOf(fixture, call, request)).deadline == fixture.now + 2s));
}

BOOST_AUTO_TEST_CASE(An_attempt_that_may_be_repeated_leaves_time_for_another_one)
{
    EntryFixture fixture { threeNodes() };
    std::shared_ptr<CallDecision> call;
    startOf(fixture, call, makeCall("GET", "/x"));
    call->onAttemptFinished(answered(200), fixture.now + 5ms);
    const auto command = startOf(fixture, call, makeCall("GET", "/x"));
    BOOST_TEST((std::get<SendAttempt>(command).deadline == fixture.now + 1s));
}

struct ArrivalRow {
    const char* name;
    void (*change)(EntryFixture&, CallRequest&);
    RefusalReason reason;
};

BOOST_AUTO_TEST_CASE(A_call_that_cannot_be_sent_is_refused_at_arrival_as_not_run)
{
    const ArrivalRow rows[] {
        { "not ready", [](EntryFixture& it, CallRequest&) { it.router.setReady(false); }, RefusalReason::NotReady },
        { "no configuration", [](EntryFixture& it, CallRequest&) { it.router.setConfiguration(nullptr); },
            RefusalReason::NotReady },
        { "unknown host", [](EntryFixture&, CallRequest& it) { it.host = "elsewhere"; }, RefusalReason::UnknownHost },
        { "unknown route", [](EntryFixture&, CallRequest& it) { it.path = "*"; }, RefusalReason::UnknownRoute },
        { "method", [](EntryFixture&, CallRequest& it) { it.method = "DELETE"; }, RefusalReason::MethodNotAllowed },
        { "no time left", [](EntryFixture&, CallRequest& it) { it.callerTimeout = 0ms; },
            RefusalReason::DeadlineExceeded },
        { "quarantined",
            [](EntryFixture& it, CallRequest&) {
                it.router.setQuarantineSource([](std::uint64_t, MonotonicTime) {
                    return std::optional<std::chrono::milliseconds> { 5s };
                });
            },
            RefusalReason::Quarantined },
        { "no upstream", [](EntryFixture& it, CallRequest&) { it.router.setMembership(makeView({})); },
            RefusalReason::NoUpstream },
    };
    for (const auto& row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            EntryFixture fixture { threeNodes() };
            auto request = makeCall("POST", "/bookings");
            row.change(fixture, request);
            std::shared_ptr<CallDecision> call;
            const auto refusal = refusalOf(startOf(fixture, call, request));
            BOOST_TEST((refusal.outcome == Outcome::NotRun));
            BOOST_TEST((refusal.reason == row.reason));
        }
    }
}

struct LedgerRow {
    ClaimStatus answer;
    Next next;
    std::optional<Outcome> keyOutcome;
};

BOOST_AUTO_TEST_CASE(A_call_with_a_key_is_sent_only_once_its_key_is_granted)
{
    const LedgerRow rows[] {
        { ClaimStatus::Granted, Next::SendAgain, std::nullopt },
        { ClaimStatus::Unavailable, Next::RefuseNotRun, Outcome::NotRun },
        // The first call with the key may have run, so the outcome of these calls must not be reported as not run.
        { ClaimStatus::DuplicateInProgress, Next::RefuseUnknown, std::nullopt },
        { ClaimStatus::DuplicateRan, Next::RefuseUnknown, std::nullopt },
    };
    for (const auto& row : rows) {
        EntryFixture fixture { threeNodes() };
        auto request = makeCall("POST", "/bookings");
        request.idempotencyKey = IdempotencyKey { "key" };
        std::shared_ptr<CallDecision> call;
        BOOST_REQUIRE(std::holds_alternative<AwaitClaimResult>(startOf(fixture, call, request)));
        BOOST_TEST((nextOf(call->onClaimResult({ row.answer, std::nullopt }, fixture.now)) == row.next));
        BOOST_TEST((call->keyOutcome() == row.keyOutcome));
    }
}

BOOST_AUTO_TEST_CASE(A_key_is_released_if_its_call_ended_before_it_was_sent)
{
    EntryFixture fixture { threeNodes() };
    auto request = makeCall("POST", "/bookings");
    request.idempotencyKey = IdempotencyKey { "key" };
    std::shared_ptr<CallDecision> call;
    startOf(fixture, call, request);
    BOOST_REQUIRE(call->onDeadline(fixture.now + 2s));
    BOOST_TEST((call->keyOutcome() == Outcome::NotRun));
    // A grant that arrives too late is ignored.
    BOOST_TEST((nextOf(call->onClaimResult({ ClaimStatus::Granted, std::nullopt }, fixture.now + 2s)) == Next::RefuseNotRun));

    startOf(fixture, call, request);
    call->onClaimResult({ ClaimStatus::Granted, std::nullopt }, fixture.now);
    call->onCallerGone(fixture.now + 1ms);
    BOOST_TEST((call->keyOutcome() == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(A_call_that_may_be_repeated_needs_no_key)
{
    EntryFixture fixture { threeNodes() };
    auto request = makeCall("GET", "/x");
    request.idempotencyKey = IdempotencyKey { "key" };
    std::shared_ptr<CallDecision> call;
    BOOST_TEST(std::holds_alternative<SendAttempt>(startOf(fixture, call, request)));
}

BOOST_AUTO_TEST_CASE(The_next_version_gets_only_its_share_whatever_the_state_of_the_current_version)
{
    const std::vector<std::vector<membership::KnownNode>> fleets {
        { makeNode("old", "v1"), makeNode("new", "v2") },
        { makeNode("old", "v1", "amman-a", membership::UpstreamState::Down), makeNode("new", "v2") },
        { makeNode("new", "v2") },
    };
    for (const auto& fleet : fleets) {
        EntryFixture fixture { fleet };
        fixture.router.setTrafficSplitSource([](const ServiceName&) { return shareOf(0.1); });
        int next = 0;
        constexpr int calls = 2000;
        for (int i = 0; i < calls; ++i) {
            std::shared_ptr<CallDecision> call;
            const auto command = startOf(fixture, call, makeCall("GET", "/x"));
            const auto* sent = std::get_if<SendAttempt>(&command);
            next += sent && sent->version.value() == "v2" ? 1 : 0;
        }
        BOOST_TEST(next > calls * 0.07);
        BOOST_TEST(next < calls * 0.13);
    }
}

BOOST_AUTO_TEST_CASE(The_current_version_takes_the_calls_that_the_next_one_cannot)
{
    EntryFixture fixture { { makeNode("old", "v1"), makeNode("new", "v2") } };
    fixture.router.setTrafficSplitSource([](const ServiceName&) { return shareOf(1); });
    std::shared_ptr<CallDecision> call;
    const auto first = startOf(fixture, call, makeCall("GET", "/x"));
    BOOST_TEST(std::get<SendAttempt>(first).version.value() == "v2");
    const auto second = call->onAttemptFinished(answered(500), fixture.now);
    BOOST_TEST(std::get<SendAttempt>(second).version.value() == "v1");

    fixture.router.setMembership(makeView({ makeNode("old", "v1") }));
    fixture.now += UpstreamPicker::s_viewInterval;
    const auto alone = startOf(fixture, call, makeCall("POST", "/bookings"));
    BOOST_TEST(std::get<SendAttempt>(alone).version.value() == "v1");
}

// Guards against calls to a version that was taken back, where the versions in service are known only from the upstreams.
BOOST_AUTO_TEST_CASE(A_rejected_version_gets_no_calls_while_another_one_is_moved)
{
    EntryFixture fixture { { makeNode("old", "v1"), makeNode("rejected", "v2"), makeNode("new", "v3") } };
    fixture.router.setTrafficSplitSource([](const ServiceName&) {
        return moves::TrafficSplit { {}, {}, 0, {}, { VersionName { "v2" }, VersionName { "v3" } } };
    });
    std::shared_ptr<CallDecision> call;
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(std::get<SendAttempt>(startOf(fixture, call, makeCall("GET", "/x"))).version.value() == "v1");
}

BOOST_AUTO_TEST_CASE(A_version_that_the_configuration_lacks_gets_no_calls)
{
    EntryFixture fixture { { makeNode("old", "v1"), makeNode("other", "v9") } };
    fixture.router.setTrafficSplitSource([](const ServiceName&) {
        return moves::TrafficSplit { VersionName { "v1" }, VersionName { "v9" }, 1, {} };
    });
    std::shared_ptr<CallDecision> call;
    BOOST_TEST(std::get<SendAttempt>(startOf(fixture, call, makeCall("GET", "/x"))).version.value() == "v1");
}

BOOST_AUTO_TEST_CASE(Calls_report_a_bounded_number_of_node_observations)
{
    EntryFixture fixture { threeNodes() };
    std::shared_ptr<CallDecision> call;
    startOf(fixture, call, makeCall("POST", "/bookings"));
    call->onAttemptFinished(ended(Outcome::Unknown, RefusalReason::UpstreamConnectionLost), fixture.now);
    const auto seen = fixture.router.takeObservations();
    BOOST_REQUIRE(seen.size() == 1U);
    BOOST_TEST((seen.front().reachability == NodeReachability::Unresponsive));
    for (int i = 0; i < 1000; ++i) {
        startOf(fixture, call, makeCall("POST", "/bookings"));
        call->onAttemptFinished(answered(200), fixture.now);
    }
    BOOST_TEST(fixture.router.takeObservations().size() <= 256U);
}

BOOST_AUTO_TEST_CASE(A_caller_with_a_short_timeout_does_not_degrade_an_upstream)
{
    for (const auto time : { 20ms, 1000ms }) {
        EntryFixture fixture { { makeNode("n1", "v1") } };
        std::shared_ptr<CallDecision> call;
        for (int i = 0; i < 10; ++i) {
            auto request = makeCall("POST", "/bookings");
            request.callerTimeout = time;
            startOf(fixture, call, request);
            auto timedOut = ended(Outcome::Unknown, RefusalReason::UpstreamTimeout);
            timedOut.latency = time;
            call->onAttemptFinished(timedOut, fixture.now + time);
        }
        BOOST_TEST(fixture.router.takeObservations().empty() == (time == 20ms));
        const auto command = startOf(fixture, call, makeCall("POST", "/bookings"));
        BOOST_TEST(std::get<SendAttempt>(command).freshConnection == (time != 20ms));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
