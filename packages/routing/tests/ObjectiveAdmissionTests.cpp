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

    /// A controller whose backend server takes 200 ms for each call and has all slots taken.
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

        AdmissionRequest within(std::chrono::milliseconds objective, std::uint32_t priority = 1)
        {
            auto it = request();
            it.objective = now + objective;
            it.priority = priority;
            return it;
        }

        std::vector<AdmissionRequest> running;
    };

    /// Calls at a steady rate at one backend server; what their callers get.
    struct OverloadRun {
        AdmissionFixture fixture;
        std::map<MonotonicTime, std::vector<RequestId>> ends;
        std::map<RequestId, MonotonicTime> objectives;
        int inTime = 0;
        int late = 0;
        int refused = 0;
        std::chrono::milliseconds longestRefusal {};
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
            longestRefusal = std::max(longestRefusal, std::chrono::duration_cast<std::chrono::milliseconds>(fixture.now - arrivals[id]));
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

        /// Six slots of 200 ms bear 30 calls a second.
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

BOOST_AUTO_TEST_CASE(A_call_that_would_miss_its_objective_is_refused_at_once_and_may_come_here_again)
{
    BusyFixture fixture;
    auto hopeless = fixture.within(150ms);
    const auto refusal = refusalOf(fixture.arrive(hopeless), hopeless.id);
    BOOST_REQUIRE(refusal.has_value());
    BOOST_CHECK(refusal->reason == RefusalReason::Overloaded);
    BOOST_CHECK(refusal->outcome == Outcome::NotRun);
    hopeless.objective = fixture.now + 800ms;
    BOOST_TEST(!refusalOf(fixture.arrive(hopeless), hopeless.id).has_value());
}

BOOST_AUTO_TEST_CASE(A_call_waits_for_the_slot_that_comes_free_first)
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
    // The first of them ends in 20 ms, the last in 170 ms.
    auto call = slots.request();
    call.objective = slots.now + serviceTime + 60ms;
    BOOST_TEST(!refusalOf(slots.arrive(call), call.id).has_value());
    auto second = slots.request();
    second.objective = slots.now + serviceTime + 30ms;
    BOOST_TEST(refusalOf(slots.arrive(second), second.id).has_value());
}

BOOST_AUTO_TEST_CASE(Before_any_answer_no_longer_line_is_taken_than_the_objective_leaves_time_for)
{
    AdmissionFixture fresh { makeUpstream(), byObjective() };
    int taken = 0;
    for (int i = 0; i < 60; ++i) {
        auto call = fresh.request();
        call.objective = fresh.now + 500ms;
        taken += refusalOf(fresh.arrive(call), call.id) ? 0 : 1;
    }
    // Three at the server, and as many in the line as end before half of the time has passed.
    BOOST_TEST(taken == 6);
}

BOOST_AUTO_TEST_CASE(The_better_rank_goes_first_and_then_the_earlier_objective)
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

BOOST_AUTO_TEST_CASE(What_waits_and_has_come_to_miss_its_objective_is_refused_before_its_deadline)
{
    BusyFixture fixture;
    const auto call = fixture.within(500ms);
    BOOST_TEST(!refusalOf(fixture.arrive(call), call.id).has_value());
    fixture.now += 301ms;
    BOOST_TEST(refusalOf(fixture.controller.onTick(fixture.now), call.id).has_value());
}

BOOST_AUTO_TEST_CASE(A_call_that_may_be_late_waits_only_where_a_slot_is_free_soon)
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

BOOST_AUTO_TEST_CASE(Above_what_the_backend_server_bears_nearly_all_of_its_work_is_in_time)
{
    OverloadRun run { byObjective() };
    run.run(45, 20s);
    const int borne = 30 * 20;
    BOOST_TEST(run.inTime >= borne * 9 / 10);
    BOOST_TEST(run.late <= borne / 50);
    BOOST_TEST((run.longestRefusal <= 310ms));
}

BOOST_AUTO_TEST_CASE(In_turn_most_of_the_same_work_is_late)
{
    OverloadRun run { AdmissionPolicy {} };
    run.run(45, 20s);
    BOOST_TEST(run.late > run.inTime);
}

BOOST_AUTO_TEST_SUITE_END()

}
