#include "AdmissionFixture.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace carobpath::routing::tests {

namespace {

    constexpr auto serviceTime = 50ms;
    constexpr auto objective = 600ms;

    AdmissionPolicy byObjective()
    {
        AdmissionPolicy it;
        it.order.byObjective = true;
        return it;
    }

    /// A node whose backend server answers fast and reports about itself with every answer.
    struct ReportingServer : AdmissionFixture {
        membership::BackendRun run { "i-1", WallTime { 5000ms } };
        BackendReport report;
        /// How calls end; only an answer carries a report.
        BackendResult result = BackendResult::Answered;
        std::vector<std::pair<MonotonicTime, AdmissionRequest>> dispatched;
        std::vector<Refusal> refusals;

        ReportingServer()
            : AdmissionFixture(makeUpstream(), byObjective())
        {
            controller.setUpstream(makeUpstream(), now, run);
        }

        void carryOut(const AdmissionCommands& commands)
        {
            for (const auto& command : commands) {
                if (const auto* it = std::get_if<Dispatch>(&command))
                    dispatched.emplace_back(now, m_arrived.at(it->id));
                else
                    refusals.push_back(std::get<Reject>(command).refusal);
            }
        }

        AdmissionRequest call(std::uint32_t priority)
        {
            auto it = request();
            it.priority = priority;
            it.objective = now + objective;
            return it;
        }

        void send(const AdmissionRequest& it)
        {
            m_arrived.emplace(it.id, it);
            carryOut(controller.onArrival(it, now));
        }

        /// Lets time pass; calls come at this interval, of each rank by turns.
        void advance(MonotonicClock::duration time, std::chrono::milliseconds interval, std::vector<std::uint32_t> ranks = { 0 })
        {
            auto next = now;
            std::size_t turn = 0;
            for (const auto end = now + time; now < end; now += 5ms) {
                if (now >= next) {
                    send(call(ranks[turn++ % ranks.size()]));
                    next += interval;
                }
                endCalls();
                carryOut(controller.onTick(now));
            }
        }

        std::size_t dispatchedSince(MonotonicTime from) const
        {
            return static_cast<std::size_t>(std::count_if(dispatched.begin(), dispatched.end(), [&](const auto& it) { return it.first >= from; }));
        }

        /// \returns the calls in the fullest 4 s.
        std::size_t mostIn4s(MonotonicTime from) const
        {
            std::size_t most = 0;
            for (const auto& [start, request] : dispatched) {
                if (start < from)
                    continue;
                const auto n = std::count_if(dispatched.begin(), dispatched.end(), [begin = start](const auto& it) { return it.first >= begin && it.first < begin + 4s; });
                most = std::max(most, static_cast<std::size_t>(n));
            }
            return most;
        }

        void endCalls()
        {
            while (m_ended < dispatched.size() && dispatched[m_ended].first + serviceTime <= now) {
                const auto sentAt = dispatched[m_ended].first;
                const auto id = dispatched[m_ended++].second.id;
                if (result == BackendResult::Answered)
                    carryOut(controller.onReport(run, report, ReportSource::Run, sentAt, now).value_or(AdmissionCommands {}));
                carryOut(controller.onFinished({ id, result, serviceTime }, now));
            }
        }

    private:
        std::map<RequestId, AdmissionRequest> m_arrived;
        std::size_t m_ended = 0;
    };

}

BOOST_FIXTURE_TEST_SUITE(Rate_limited_admission, ReportingServer)

BOOST_AUTO_TEST_CASE(A_backend_server_gets_no_more_calls_than_the_rate_that_it_names)
{
    for (const double rate : { 0.0, 0.3, 1.3, 8.0, 40.0 }) {
        report.callsPerSecond = rate;
        advance(3s, 10ms);
        const auto from = now;
        advance(12s, 10ms);
        BOOST_TEST(mostIn4s(from) <= 1.5 * rate * 4 + 5);
        BOOST_TEST(dispatchedSince(from) >= rate * 12 * 0.9 - 1);
    }
}

BOOST_AUTO_TEST_CASE(Calls_beyond_the_named_rate_are_refused_with_the_time_of_the_next_one)
{
    report.callsPerSecond = 0.5;
    advance(4s, 50ms);
    refusals.clear();
    const auto it = call(0);
    send(it);
    BOOST_REQUIRE_EQUAL(refusals.size(), 1U);
    BOOST_TEST((refusals.front().reason == RefusalReason::RateLimited));
    BOOST_TEST((refusals.front().outcome == Outcome::NotRun));
    BOOST_TEST((refusals.front().retryAfter.value() > 100ms));
    BOOST_TEST((refusals.front().retryAfter.value() <= 3s));
}

BOOST_AUTO_TEST_CASE(The_most_urgent_calls_get_the_named_rate)
{
    report.callsPerSecond = 10;
    advance(4s, 25ms, { 0, 2, 2, 2 });
    const auto from = now;
    advance(10s, 25ms, { 0, 2, 2, 2 });
    std::size_t urgent = 0;
    for (const auto& [at, request] : dispatched)
        urgent += at >= from && request.priority == 0 ? 1 : 0;
    // A hundred of the calls are urgent, as many as the rate allows in all.
    BOOST_TEST(urgent >= 85U);
}

BOOST_AUTO_TEST_CASE(A_download_that_comes_as_the_rate_allows_a_call_does_not_pass_a_more_urgent_call_that_waits)
{
    report.callsPerSecond = 5;
    advance(4s, 20ms);
    now += 10s;
    carryOut(controller.onTick(now));
    while (controller.load(now).rate->wait.count() == 0)
        send(call(0));
    const auto waiting = call(0);
    send(waiting);
    now += serviceTime;
    endCalls();
    now += 160ms;
    auto late = call(2);
    late.trafficClass = publication::TrafficClass::Download;
    send(late);
    BOOST_TEST((dispatched.back().second.id == waiting.id));
}

BOOST_AUTO_TEST_CASE(A_limit_that_is_lifted_lets_the_queued_calls_go)
{
    report.callsPerSecond = 2;
    advance(4s, 20ms);
    report = {};
    const auto from = now;
    advance(2s, 20ms);
    BOOST_TEST(dispatchedSince(from + 1s) >= 45U);
}

BOOST_AUTO_TEST_CASE(A_server_that_is_down_is_probed_within_the_rate_that_it_named)
{
    report.callsPerSecond = 0.25;
    advance(5s, 50ms);
    result = BackendResult::ConnectionLost;
    advance(30s, 50ms);
    const auto from = now;
    advance(30s, 50ms);
    BOOST_TEST(mostIn4s(from) <= 6U);
    BOOST_TEST(dispatchedSince(from) >= 5U);
}

BOOST_AUTO_TEST_CASE(A_server_that_says_that_it_leaves_gets_no_more_calls)
{
    report.isLeaving = true;
    advance(200ms, 20ms);
    const auto from = now;
    controller.setUpstream(makeUpstream(), now, run);
    advance(2s, 20ms);
    BOOST_TEST(dispatchedSince(from) == 0U);
    BOOST_TEST((controller.upstream()->state == membership::UpstreamState::Draining));
    BOOST_TEST((refusals.back().reason == RefusalReason::Draining));
}

BOOST_AUTO_TEST_CASE(The_next_run_of_a_server_that_left_gets_calls)
{
    report.isLeaving = true;
    advance(200ms, 20ms);
    report = {};
    run.startedAt = WallTime { 9000ms };
    controller.setUpstream(makeUpstream(), now, run);
    const auto from = now;
    advance(1s, 20ms);
    BOOST_TEST(dispatchedSince(from) >= 40U);
}

BOOST_AUTO_TEST_CASE(A_server_that_was_silent_for_a_while_is_held_to_what_it_reported_before)
{
    report = { 0.25, false, false };
    advance(5s, 20ms);
    controller.setUpstream(std::nullopt, now);
    now += 1s;
    controller.setUpstream(makeUpstream(), now, run);
    const auto from = now;
    for (int i = 0; i < 6; ++i)
        send(call(0));
    BOOST_TEST(dispatchedSince(from) <= 1U);
    report.isLeaving = true;
    advance(8s, 20ms);
    controller.setUpstream(std::nullopt, now);
    controller.setUpstream(makeUpstream(), now, run);
    BOOST_TEST(controller.draining());
}

BOOST_AUTO_TEST_CASE(A_node_that_has_just_started_goes_by_the_rate_that_entry_nodes_know)
{
    report.callsPerSecond = 0.25;
    auto it = call(0);
    it.knownCallsPerSecond = 0.25;
    for (int i = 0; i < 6; ++i) {
        it.id = RequestId { "first-" + std::to_string(i) };
        send(it);
    }
    BOOST_TEST(dispatched.size() <= 1U);
}

BOOST_AUTO_TEST_CASE(What_entry_nodes_know_of_the_rate_counts_until_the_first_answer)
{
    auto it = call(0);
    it.knownCallsPerSecond = 0.25;
    send(it);
    advance(6s, 20ms);
    const auto from = now;
    advance(1s, 20ms);
    BOOST_TEST(dispatchedSince(from) >= 45U);
}

BOOST_AUTO_TEST_SUITE_END()

}
