#include "AdmissionFixture.h"

#include <boost/test/unit_test.hpp>

#include <deque>

namespace carobpath::routing::tests {

namespace {

    using membership::UpstreamState;

    struct RefusalRow {
        const char* name;
        void (*change)(AdmissionFixture&, AdmissionRequest&);
        RefusalReason reason;
    };

    const RefusalRow refusalRows[] {
        { "another version", [](AdmissionFixture&, AdmissionRequest& it) { it.version = VersionName { "v2" }; },
            RefusalReason::NoUpstream },
        { "no upstream", [](AdmissionFixture& it, AdmissionRequest&) { it.controller.setUpstream({}, it.now); },
            RefusalReason::NoUpstream },
        { "the node drains", [](AdmissionFixture& it, AdmissionRequest&) { it.controller.drain(it.now); },
            RefusalReason::Draining },
        { "the backend server drains",
            [](AdmissionFixture& it, AdmissionRequest&) {
                it.controller.setUpstream(makeUpstream(UpstreamState::Draining), it.now);
            },
            RefusalReason::Draining },
        { "the deadline has passed",
            [](AdmissionFixture& it, AdmissionRequest& request) { request.deadline = it.now; },
            RefusalReason::DeadlineExceeded },
        { "the backend server refuses connections",
            [](AdmissionFixture& it, AdmissionRequest&) { it.fail(BackendResult::ConnectFailed, 2); },
            RefusalReason::UpstreamUnreachable },
        { "the backend server does not answer",
            [](AdmissionFixture& it, AdmissionRequest&) { it.fail(BackendResult::TimedOut, 4); },
            RefusalReason::UpstreamUnreachable },
    };

    /// A policy without queue classes, reserved slots and load shedding.
    AdmissionPolicy plainPolicy()
    {
        AdmissionPolicy it;
        it.order.byClass = false;
        it.order.narrowFirst = false;
        it.reservedFraction = 0;
        it.shedByWait = false;
        return it;
    }

    /// Fills all slots that downloads may use with downloads that never finish. \returns whether a non-repeatable call
    /// is then dispatched.
    bool nonRepeatableCallPassesDownloads(const AdmissionPolicy& policy)
    {
        AdmissionFixture fixture { makeUpstream(), policy };
        fixture.warmUp();
        for (int i = 0; i < 20; ++i)
            fixture.arrive(fixture.download());
        const auto booking = fixture.booking();
        return isDispatched(fixture.arrive(booking), booking.id);
    }

    /// Sends calls at about twice the capacity of six slots of 100 ms. \returns how many calls were queued and then
    /// refused.
    int countCallsRefusedInQueue(const AdmissionPolicy& policy)
    {
        AdmissionFixture fixture { makeUpstream(), policy };
        fixture.warmUp();
        std::deque<std::pair<MonotonicTime, RequestId>> running;
        int refused = 0;
        RequestId arriving;
        const auto take = [&](const AdmissionCommands& commands) {
            for (const auto& it : commands) {
                if (const auto* dispatch = std::get_if<Dispatch>(&it))
                    running.emplace_back(fixture.now + 100ms, dispatch->id);
                else
                    refused += std::get<Reject>(it).id != arriving ? 1 : 0;
            }
        };
        for (int i = 0; i < 500; ++i) {
            fixture.now += 8ms;
            while (!running.empty() && running.front().first <= fixture.now) {
                const auto id = running.front().second;
                running.pop_front();
                take(fixture.finish(id, BackendResult::Answered, 100ms));
            }
            auto request = fixture.request();
            request.deadline = fixture.now + 500ms;
            arriving = request.id;
            take(fixture.arrive(request));
        }
        return refused;
    }

}

BOOST_AUTO_TEST_SUITE(Admission)

BOOST_AUTO_TEST_CASE(A_call_is_dispatched_at_once_while_slots_are_free)
{
    AdmissionFixture fixture;
    const auto request = fixture.request();
    BOOST_TEST(isDispatched(fixture.arrive(request), request.id));
    BOOST_TEST(fixture.controller.inFlight() == 1U);
    fixture.finish(request.id);
    BOOST_TEST(fixture.controller.inFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(A_call_that_cannot_be_served_is_refused_at_once_as_not_run)
{
    for (const auto& row : refusalRows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            AdmissionFixture fixture;
            auto request = fixture.booking();
            row.change(fixture, request);
            const auto refusal = refusalOf(fixture.arrive(request), request.id);
            BOOST_REQUIRE(refusal);
            BOOST_TEST((refusal->outcome == Outcome::NotRun));
            BOOST_TEST((refusal->reason == row.reason));
            if (row.reason != RefusalReason::DeadlineExceeded)
                BOOST_TEST(refusal->retryAfter.has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(Draining_refuses_queued_calls_and_lets_running_calls_finish)
{
    AdmissionFixture fixture;
    fixture.warmUp();
    std::vector<AdmissionRequest> requests;
    for (int i = 0; i < 8; ++i) {
        requests.push_back(fixture.request());
        fixture.arrive(requests.back());
    }
    BOOST_TEST(fixture.controller.waiting() == 2U);
    const auto commands = fixture.controller.drain(fixture.now);
    for (const std::size_t i : { 6U, 7U }) {
        const auto refusal = refusalOf(commands, requests[i].id);
        BOOST_REQUIRE(refusal);
        BOOST_TEST((refusal->reason == RefusalReason::Draining));
    }
    BOOST_TEST(fixture.controller.inFlight() == 6U);
    for (std::size_t i = 0; i < 6; ++i)
        BOOST_TEST(fixture.finish(requests[i].id).empty());
    BOOST_TEST(fixture.controller.inFlight() == 0U);
    BOOST_TEST((fixture.controller.upstream()->state == UpstreamState::Draining));
}

BOOST_AUTO_TEST_CASE(A_request_that_arrives_twice_is_dispatched_once_and_the_second_copy_has_an_unknown_outcome)
{
    AdmissionFixture fixture;
    const auto request = fixture.booking();
    fixture.arrive(request);
    for (const bool finished : { false, true }) {
        if (finished)
            fixture.finish(request.id);
        const auto refusal = refusalOf(fixture.arrive(request), request.id);
        BOOST_REQUIRE(refusal);
        BOOST_TEST((refusal->outcome == Outcome::Unknown));
        BOOST_TEST((refusal->reason == RefusalReason::DuplicateInProgress));
    }
}

BOOST_AUTO_TEST_CASE(A_second_copy_of_a_refused_non_repeatable_call_is_not_accepted)
{
    for (const auto result : { BackendResult::Refused, BackendResult::ConnectFailed }) {
        AdmissionFixture fixture;
        const auto request = fixture.booking();
        fixture.arrive(request);
        fixture.finish(request.id, result);
        BOOST_TEST(!isDispatched(fixture.arrive(request), request.id));
    }
    AdmissionFixture fixture;
    const auto request = fixture.booking();
    fixture.controller.setUpstream({}, fixture.now);
    fixture.arrive(request);
    fixture.controller.setUpstream(makeUpstream(), fixture.now);
    BOOST_TEST(!isDispatched(fixture.arrive(request), request.id));
}

BOOST_AUTO_TEST_CASE(A_queued_call_is_removed_when_its_caller_disconnects_or_its_deadline_passes)
{
    AdmissionFixture fixture;
    fixture.warmUp();
    std::vector<AdmissionRequest> running;
    for (int i = 0; i < 6; ++i) {
        running.push_back(fixture.request());
        fixture.arrive(running.back());
    }
    const auto left = fixture.request();
    auto expired = fixture.request();
    expired.deadline = fixture.now + 100ms;
    const auto valid = fixture.request();
    for (const auto& it : { left, expired, valid })
        fixture.arrive(it);
    BOOST_TEST(fixture.controller.onCancelled(left.id, fixture.now).empty());
    BOOST_TEST((fixture.controller.nextTick() == expired.deadline));
    fixture.now += 100ms;
    const auto commands = fixture.finish(running.front().id);
    BOOST_TEST((refusalOf(commands, expired.id)->reason == RefusalReason::DeadlineExceeded));
    BOOST_TEST(isDispatched(commands, valid.id));
    BOOST_TEST(!isDispatched(commands, left.id));
    // Cancelling a dispatched call does not free its slot before the backend server has finished.
    BOOST_TEST(fixture.controller.onCancelled(valid.id, fixture.now).empty());
    BOOST_TEST(fixture.controller.inFlight() == 6U);
}

BOOST_AUTO_TEST_CASE(A_queued_call_is_refused_as_not_run_while_its_entry_node_still_waits)
{
    for (const auto timeLeft : { 40ms, 90ms, 1000ms }) {
        BOOST_TEST_CONTEXT(timeLeft.count() << " ms left")
        {
            AdmissionFixture fixture;
            fixture.warmUp();
            for (int i = 0; i < 6; ++i)
                fixture.arrive(fixture.request());
            auto call = fixture.request();
            call.deadline = fixture.now + timeLeft;
            BOOST_TEST(!refusalOf(fixture.arrive(call), call.id).has_value());
            std::optional<Refusal> refusal;
            while (!refusal && fixture.now < call.deadline) {
                fixture.now += 20ms;
                refusal = refusalOf(fixture.controller.onTick(fixture.now), call.id);
            }
            BOOST_REQUIRE(refusal);
            BOOST_TEST((refusal->outcome == Outcome::NotRun));
            BOOST_TEST((fixture.now + 10ms <= call.deadline));
        }
    }
}

BOOST_AUTO_TEST_CASE(The_limit_starts_at_half_of_the_slots_and_grows_slowly_for_a_cold_server)
{
    AdmissionFixture cold { makeUpstream(UpstreamState::Cold) };
    BOOST_TEST(cold.controller.limit() == 3U);
    AdmissionFixture ready;
    BOOST_TEST(ready.controller.limit() == 3U);
    // Always runs as many concurrent calls as the limit allows.
    std::deque<RequestId> running;
    int answers = 0;
    while (cold.controller.limit() < 6 && answers < 1000) {
        while (running.size() < cold.controller.limit()) {
            running.push_back(cold.request().id);
            auto it = cold.request();
            it.id = running.back();
            cold.arrive(it);
        }
        cold.finish(running.front());
        running.pop_front();
        ++answers;
    }
    BOOST_TEST(answers > 10);
    BOOST_TEST(answers < 30);
}

BOOST_AUTO_TEST_CASE(Refusals_of_the_server_lower_the_limit_below_the_announced_slots)
{
    AdmissionFixture fixture { makeUpstream(UpstreamState::Ready, 100) };
    // The server announces a hundred slots but has only four.
    std::deque<RequestId> running;
    int refusals = 0;
    std::uint32_t maxLimit = 0;
    for (int i = 0; i < 2000; ++i) {
        fixture.now += 10ms;
        for (int n = 0; n < 2; ++n) {
            const auto it = fixture.request();
            if (!isDispatched(fixture.arrive(it), it.id)) {
                fixture.controller.onCancelled(it.id, fixture.now);
                continue;
            }
            if (running.size() < 4)
                running.push_back(it.id);
            else
                fixture.finish(it.id, BackendResult::Refused);
            refusals += running.back() == it.id ? 0 : 1;
        }
        if (i > 1000)
            maxLimit = std::max(maxLimit, fixture.controller.limit());
        if (i % 4 == 0 && !running.empty()) {
            fixture.finish(running.front());
            running.pop_front();
        }
    }
    BOOST_TEST(maxLimit <= 8U);
    BOOST_TEST(refusals < 400);
}

BOOST_AUTO_TEST_CASE(Non_repeatable_calls_overtake_downloads_that_fill_the_queue_only_with_the_default_policy)
{
    BOOST_TEST(nonRepeatableCallPassesDownloads({}));
    BOOST_TEST(!nonRepeatableCallPassesDownloads(plainPolicy()));
}

BOOST_AUTO_TEST_CASE(Calls_that_would_miss_their_deadline_are_refused_on_arrival_and_in_the_queue_without_shedding)
{
    auto withoutShedding = AdmissionPolicy {};
    withoutShedding.shedByWait = false;
    BOOST_TEST(countCallsRefusedInQueue({}) == 0);
    BOOST_TEST(countCallsRefusedInQueue(withoutShedding) > 50);
}

BOOST_AUTO_TEST_CASE(A_refusal_for_load_contains_a_retry_delay)
{
    AdmissionFixture fixture;
    fixture.warmUp();
    std::optional<Refusal> refusal;
    for (int i = 0; i < 200 && !refusal; ++i) {
        auto it = fixture.request();
        it.deadline = fixture.now + 100ms;
        refusal = refusalOf(fixture.arrive(it), it.id);
    }
    BOOST_REQUIRE(refusal);
    BOOST_TEST((refusal->reason == RefusalReason::Overloaded));
    BOOST_TEST((refusal->retryAfter >= AdmissionController::s_minRetryAfter));
}

BOOST_AUTO_TEST_CASE(Calls_are_dispatched_again_after_a_series_of_very_slow_calls)
{
    AdmissionFixture fixture;
    fixture.warmUp();
    for (int i = 0; i < 3; ++i) {
        const auto it = fixture.request();
        fixture.arrive(it);
        fixture.finish(it.id, BackendResult::TimedOut, 1h);
    }
    const auto it = fixture.request();
    BOOST_TEST(isDispatched(fixture.arrive(it), it.id));
}

BOOST_AUTO_TEST_CASE(A_non_repeatable_call_displaces_a_download_from_a_full_queue)
{
    AdmissionPolicy policy;
    policy.shedByWait = false;
    AdmissionFixture fixture { makeUpstream(), policy };
    fixture.warmUp();
    std::vector<RequestId> downloads;
    while (fixture.controller.waiting() < AdmissionQueue::s_maxWaiting) {
        const auto it = fixture.download();
        downloads.push_back(it.id);
        fixture.arrive(it);
    }
    const auto another = fixture.download();
    BOOST_TEST(refusalOf(fixture.arrive(another), another.id).has_value());
    const auto first = fixture.booking();
    const auto commands = fixture.arrive(first);
    BOOST_TEST(isDispatched(commands, first.id));
    BOOST_TEST(!refusalOf(commands, downloads.back()));
    const auto second = fixture.booking();
    BOOST_TEST(refusalOf(fixture.arrive(second), downloads.back()).has_value());
    BOOST_TEST(fixture.controller.waiting() == AdmissionQueue::s_maxWaiting);
}

BOOST_AUTO_TEST_CASE(A_download_that_waited_for_half_of_its_time_is_served_before_short_calls)
{
    AdmissionFixture fixture { makeUpstream(UpstreamState::Ready, 1) };
    auto running = fixture.request().id;
    auto first = fixture.request();
    first.id = running;
    fixture.arrive(first);
    const auto download = fixture.download();
    fixture.arrive(download);
    bool served = false;
    for (int i = 0; i < 30 && !served; ++i) {
        const auto it = fixture.request();
        fixture.arrive(it);
        fixture.now += 50ms;
        const auto commands = fixture.finish(running, BackendResult::Answered, 50ms);
        served = isDispatched(commands, download.id);
        running = it.id;
    }
    BOOST_TEST(served);
}

BOOST_AUTO_TEST_CASE(A_server_that_is_down_is_probed_by_single_calls)
{
    AdmissionFixture fixture;
    fixture.fail(BackendResult::ConnectFailed, 2);
    BOOST_TEST((fixture.controller.upstream()->state == UpstreamState::Down));
    fixture.now += BackendHealth::s_probeInterval;
    const auto probe = fixture.booking();
    BOOST_TEST(isDispatched(fixture.arrive(probe), probe.id));
    const auto second = fixture.booking();
    BOOST_TEST(refusalOf(fixture.arrive(second), second.id).has_value());
    fixture.finish(probe.id);
    BOOST_TEST((fixture.controller.upstream()->state == UpstreamState::Ready));
    // After recovery, the server starts again with a small limit.
    BOOST_TEST(fixture.controller.limit() == 3U);
}

BOOST_AUTO_TEST_CASE(A_non_repeatable_call_does_not_probe_a_server_that_loses_calls)
{
    AdmissionFixture fixture;
    fixture.fail(BackendResult::TimedOut, 4);
    fixture.now += BackendHealth::s_probeInterval;
    const auto booking = fixture.booking();
    BOOST_TEST(refusalOf(fixture.arrive(booking), booking.id).has_value());
    const auto reading = fixture.request();
    BOOST_TEST(isDispatched(fixture.arrive(reading), reading.id));
}

BOOST_AUTO_TEST_CASE(A_result_of_the_health_endpoint_alone_does_not_change_the_state)
{
    AdmissionFixture fixture;
    fixture.controller.onHealthHint(false, fixture.now);
    const auto request = fixture.request();
    BOOST_TEST(isDispatched(fixture.arrive(request), request.id));
    BOOST_TEST((fixture.controller.upstream()->state == UpstreamState::Ready));
    // Together with a failed call, the hint lowers the threshold.
    fixture.finish(request.id, BackendResult::TimedOut);
    BOOST_TEST((fixture.controller.upstream()->state == UpstreamState::Down));
    // A healthy hint does not mark the server as recovered; it only allows an immediate probe.
    fixture.controller.onHealthHint(true, fixture.now);
    BOOST_TEST((fixture.controller.upstream()->state == UpstreamState::Down));
    const auto probe = fixture.request();
    BOOST_TEST(isDispatched(fixture.arrive(probe), probe.id));
}

BOOST_AUTO_TEST_CASE(A_change_of_version_refuses_calls_queued_for_the_old_version)
{
    AdmissionFixture fixture;
    fixture.warmUp();
    AdmissionRequest last;
    for (int i = 0; i < 7; ++i) {
        last = fixture.request();
        fixture.arrive(last);
    }
    auto next = makeUpstream();
    next.version = VersionName { "v2" };
    const auto refusal = refusalOf(fixture.controller.setUpstream(next, fixture.now), last.id);
    BOOST_REQUIRE(refusal);
    BOOST_TEST((refusal->reason == RefusalReason::NoUpstream));
}

BOOST_AUTO_TEST_CASE(Fewer_connections_than_slots_limit_the_concurrent_calls)
{
    auto upstream = makeUpstream(UpstreamState::Ready, 100);
    upstream.connections = 4;
    AdmissionFixture fixture { upstream };
    for (int i = 0; i < 50; ++i)
        fixture.arrive(fixture.request());
    BOOST_TEST(fixture.controller.inFlight() == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(QueueOrders)

BOOST_AUTO_TEST_CASE(Within_a_class_the_narrowest_call_is_served_first_until_another_has_waited_too_long)
{
    AdmissionFixture fixture;
    AdmissionQueue queue { QueueOrder {} };
    std::vector<AdmissionRequest> requests;
    for (const std::uint32_t width : { 8U, 2U, 4U, 2U }) {
        requests.push_back(fixture.download());
        requests.back().width = width;
        requests.back().deadline = fixture.now + 60s;
        queue.push(requests.back(), fixture.now);
    }
    const auto any = [](const AdmissionRequest&) { return true; };
    BOOST_TEST((queue.pop(any, fixture.now)->id == requests[1].id));
    BOOST_TEST((queue.pop(any, fixture.now)->id == requests[3].id));
    BOOST_TEST((queue.pop(any, fixture.now + 5s)->id == requests[0].id));
    BOOST_TEST((queue.pop(any, fixture.now + 5s)->id == requests[2].id));
    BOOST_TEST(!queue.pop(any, fixture.now + 5s));
}

BOOST_AUTO_TEST_CASE(Non_repeatable_calls_are_served_before_other_short_calls_and_those_before_downloads)
{
    AdmissionFixture fixture;
    AdmissionQueue queue { QueueOrder {} };
    const auto download = fixture.download();
    const auto reading = fixture.request();
    const auto booking = fixture.booking();
    for (const auto& it : { download, reading, booking })
        queue.push(it, fixture.now);
    const auto any = [](const AdmissionRequest&) { return true; };
    for (const auto& it : { booking, reading, download })
        BOOST_TEST((queue.pop(any, fixture.now)->id == it.id));
}

BOOST_AUTO_TEST_SUITE_END()

}
