#include "AdmissionFixture.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <queue>

namespace carobpath::routing::tests {

namespace {

    constexpr auto serviceTime = 200ms;

    AdmissionPolicy byObjective()
    {
        AdmissionPolicy it;
        it.order.byObjective = true;
        return it;
    }

    /// A controller whose backend server needs 200 ms for each call and whose slots are all occupied.
    struct BusyFixture : AdmissionFixture {
        BusyFixture()
            : AdmissionFixture(makeUpstream(), byObjective())
        {
            warmUp();
            for (int i = 0; i < 60; ++i) {
                const auto it = request();
                arrive(it);
                finish(it.id, BackendResult::Answered, serviceTime);
            }
            for (int i = 0; i < 6; ++i) {
                running.push_back(request());
                arrive(running.back());
            }
        }

        /// Runs enough calls of 200 ms for the node to know of no faster ones.
        void runOnlySlowCalls()
        {
            for (int i = 0; i < 250; ++i) {
                finish(running.front().id, BackendResult::Answered, serviceTime);
                running.erase(running.begin());
                running.push_back(request());
                arrive(running.back());
            }
        }

        /// A call past its objective that may be queued all the same.
        AdmissionRequest late(std::chrono::milliseconds timeLeft)
        {
            auto it = within(0ms);
            it.mayBeLate = true;
            it.deadline = now + timeLeft;
            return it;
        }

        /// Ticks as a node does until the call is refused. \returns its refusal; nothing once its deadline has passed.
        std::optional<Refusal> tickUntilRefused(const AdmissionRequest& it)
        {
            while (now < it.deadline) {
                now += 20ms;
                if (const auto refusal = refusalOf(controller.onTick(now), it.id))
                    return refusal;
            }
            return std::nullopt;
        }

        AdmissionRequest within(std::chrono::milliseconds objective, std::uint32_t priority = 1)
        {
            auto it = request();
            it.objective = now + objective;
            it.priority = priority;
            return it;
        }

        std::vector<AdmissionRequest> running;
    };

    /// Sends calls at a steady rate to one backend server and counts their results.
    struct OverloadRun {
        AdmissionFixture fixture;
        std::map<MonotonicTime, std::vector<RequestId>> ends;
        std::map<RequestId, MonotonicTime> objectives;
        int inTime = 0;
        int late = 0;
        int refused = 0;
        std::chrono::milliseconds maxRefusalTime {};
        std::map<RequestId, MonotonicTime> arrivals;

        explicit OverloadRun(const AdmissionPolicy& policy)
            : fixture(makeUpstream(), policy)
        {
        }

        void take(const AdmissionCommands& commands)
        {
            for (const auto& it : commands) {
                if (const auto* dispatch = std::get_if<Dispatch>(&it))
                    ends[fixture.now + serviceTime].push_back(dispatch->id);
                else
                    refuse(std::get<Reject>(it).id);
            }
        }

        void refuse(const RequestId& id)
        {
            ++refused;
            maxRefusalTime = std::max(maxRefusalTime, std::chrono::duration_cast<std::chrono::milliseconds>(fixture.now - arrivals[id]));
        }

        void endCalls()
        {
            while (!ends.empty() && ends.begin()->first <= fixture.now) {
                const auto ended = ends.begin()->second;
                ends.erase(ends.begin());
                for (const auto& id : ended) {
                    ++(fixture.now <= objectives[id] ? inTime : late);
                    take(fixture.finish(id, BackendResult::Answered, serviceTime));
                }
            }
        }

        /// The capacity is 30 calls per second: six slots of 200 ms.
        void run(int callsPerSecond, std::chrono::seconds time)
        {
            const auto gap = std::chrono::microseconds { 1'000'000 / callsPerSecond };
            auto next = fixture.now;
            const auto end = fixture.now + time;
            for (; fixture.now < end; fixture.now += 1ms) {
                endCalls();
                take(fixture.controller.onTick(fixture.now));
                while (next <= fixture.now) {
                    next += gap;
                    auto it = fixture.request();
                    it.deadline = fixture.now + 1200ms;
                    it.objective = fixture.now + 500ms;
                    objectives[it.id] = *it.objective;
                    arrivals[it.id] = fixture.now;
                    take(fixture.arrive(it));
                }
            }
        }
    };

}

BOOST_AUTO_TEST_SUITE(Admission_by_objective)

BOOST_AUTO_TEST_CASE(A_call_that_would_miss_its_objective_is_refused_at_once_and_may_be_sent_again)
{
    BusyFixture fixture;
    auto unattainable = fixture.within(150ms);
    const auto refusal = refusalOf(fixture.arrive(unattainable), unattainable.id);
    BOOST_REQUIRE(refusal.has_value());
    BOOST_CHECK(refusal->reason == RefusalReason::Overloaded);
    BOOST_CHECK(refusal->outcome == Outcome::NotRun);
    unattainable.objective = fixture.now + 800ms;
    BOOST_TEST(!refusalOf(fixture.arrive(unattainable), unattainable.id).has_value());
}

BOOST_AUTO_TEST_CASE(The_expected_wait_ends_when_the_first_slot_becomes_free)
{
    AdmissionFixture slots { makeUpstream(), byObjective() };
    slots.warmUp();
    for (int i = 0; i < 60; ++i) {
        const auto it = slots.request();
        slots.arrive(it);
        slots.finish(it.id, BackendResult::Answered, serviceTime);
    }
    for (int i = 0; i < 6; ++i) {
        slots.arrive(slots.request());
        slots.now += 30ms;
    }
    // The first call ends in 20 ms, the last one in 170 ms.
    auto call = slots.request();
    call.objective = slots.now + serviceTime + 60ms;
    BOOST_TEST(!refusalOf(slots.arrive(call), call.id).has_value());
    auto second = slots.request();
    second.objective = slots.now + serviceTime + 30ms;
    BOOST_TEST(refusalOf(slots.arrive(second), second.id).has_value());
}

BOOST_AUTO_TEST_CASE(Before_the_first_answer_the_objective_limits_the_length_of_the_queue)
{
    AdmissionFixture fresh { makeUpstream(), byObjective() };
    int accepted = 0;
    for (int i = 0; i < 60; ++i) {
        auto call = fresh.request();
        call.objective = fresh.now + 500ms;
        accepted += refusalOf(fresh.arrive(call), call.id) ? 0 : 1;
    }
    // Three calls run at the server; as many are queued as can be expected to finish within the objective, at an
    // estimated service time of half of it.
    BOOST_TEST(accepted == 6);
}

BOOST_AUTO_TEST_CASE(Calls_are_served_by_rank_and_then_by_earliest_objective)
{
    BusyFixture fixture;
    const auto late = fixture.within(900ms);
    const auto early = fixture.within(600ms);
    const auto ranked = fixture.within(900ms, 0);
    for (const auto& it : { late, early, ranked })
        fixture.arrive(it);
    std::vector<RequestId> order;
    for (int i = 0; i < 3; ++i) {
        for (const auto& it : fixture.finish(fixture.running[static_cast<std::size_t>(i)].id, BackendResult::Answered, serviceTime))
            order.push_back(std::get<Dispatch>(it).id);
    }
    BOOST_TEST((order == std::vector<RequestId> { ranked.id, early.id, late.id }));
}

BOOST_AUTO_TEST_CASE(A_queued_call_that_can_no_longer_meet_its_objective_is_refused_before_its_deadline)
{
    BusyFixture fixture;
    const auto call = fixture.within(500ms);
    BOOST_TEST(!refusalOf(fixture.arrive(call), call.id).has_value());
    fixture.now += 301ms;
    BOOST_TEST(refusalOf(fixture.controller.onTick(fixture.now), call.id).has_value());
}

BOOST_AUTO_TEST_CASE(A_call_that_may_be_late_is_queued_only_if_a_slot_is_free_soon)
{
    BusyFixture fixture;
    fixture.now += 120ms;
    auto call = fixture.within(0ms);
    call.mayBeLate = true;
    BOOST_TEST(!refusalOf(fixture.arrive(call), call.id).has_value());
    for (int i = 0; i < 6; ++i)
        fixture.arrive(fixture.within(900ms));
    auto second = fixture.within(0ms);
    second.mayBeLate = true;
    BOOST_TEST(refusalOf(fixture.arrive(second), second.id).has_value());
}

BOOST_AUTO_TEST_CASE(A_call_that_may_be_late_is_refused_as_not_run_before_its_entry_node_stops_waiting)
{
    BusyFixture fixture;
    fixture.now += 120ms;
    const auto call = fixture.late(410ms);
    BOOST_REQUIRE(!refusalOf(fixture.arrive(call), call.id));
    const auto refusal = fixture.tickUntilRefused(call);
    BOOST_REQUIRE(refusal);
    BOOST_TEST((refusal->outcome == Outcome::NotRun));
    BOOST_TEST((refusal->reason == RefusalReason::Overloaded));
    BOOST_TEST((fixture.now + 20ms <= call.deadline));
}

BOOST_AUTO_TEST_CASE(A_call_that_may_be_late_is_refused_once_the_fastest_run_would_miss_its_deadline)
{
    BusyFixture fixture;
    fixture.runOnlySlowCalls();
    fixture.now += 120ms;
    const auto call = fixture.late(410ms);
    BOOST_REQUIRE(!refusalOf(fixture.arrive(call), call.id));
    BOOST_REQUIRE(fixture.tickUntilRefused(call));
    BOOST_TEST((fixture.now + serviceTime <= call.deadline + 20ms));
}

BOOST_AUTO_TEST_CASE(A_slot_that_comes_free_shortly_before_a_deadline_is_used_where_fast_runs_were_seen)
{
    BusyFixture fixture;
    fixture.now += 120ms;
    const auto call = fixture.late(400ms);
    BOOST_REQUIRE(!refusalOf(fixture.arrive(call), call.id));
    fixture.now = call.deadline - 30ms;
    BOOST_TEST(isDispatched(fixture.finish(fixture.running.front().id, BackendResult::Answered, serviceTime), call.id));
}

BOOST_AUTO_TEST_CASE(Under_overload_nearly_all_answers_are_in_time)
{
    OverloadRun run { byObjective() };
    run.run(45, 20s);
    const int capacity = 30 * 20;
    BOOST_TEST(run.inTime >= capacity * 9 / 10);
    BOOST_TEST(run.late <= capacity / 50);
    BOOST_TEST((run.maxRefusalTime <= 310ms));
}

BOOST_AUTO_TEST_CASE(Under_overload_most_answers_are_late_in_order_of_arrival)
{
    OverloadRun run { AdmissionPolicy {} };
    run.run(45, 20s);
    BOOST_TEST(run.late > run.inTime);
}

BOOST_AUTO_TEST_SUITE_END()

}
