#include "AdmissionFixture.h"
#include "EntryFixture.h"
#include "carobpath/access/Access.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

using namespace std::chrono_literals;

namespace {

    /// The sample configuration with a workspace, whose route "list" is open to callers without an API key.
    std::shared_ptr<publication::ConfigurationVersion> makeConfigurationWithWorkspace()
    {
        auto it = std::make_shared<publication::ConfigurationVersion>(*makeConfiguration());
        auto& shop = it->set.workspaces[WorkspaceName { "shop" }].workspace;
        shop.name = WorkspaceName { "shop" };
        shop.keys = { digestOf("shop-key") };
        it->set.routes[RouteName { "list" }].route.allowsAnonymous = true;
        return it;
    }

    /// An entry node whose backend server runs a call.
    struct InnerFixture : EntryFixture {
        InnerFixture()
            : EntryFixture({ makeNode("a", "v1") })
        {
            router.setInnerCalls(innerCalls);
            innerCalls->onDispatched();
        }

        SendAttempt firstAttempt(const CallRequest& request)
        {
            const auto call = router.begin(request, now);
            const auto command = call->start(now);
            const auto* attempt = std::get_if<SendAttempt>(&command);
            BOOST_REQUIRE(attempt);
            BOOST_TEST(attempt->isInner == call->isInner());
            return *attempt;
        }

        bool isInner(const CallRequest& request) { return firstAttempt(request).isInner; }

        std::shared_ptr<capacity::InnerCalls> innerCalls = std::make_shared<capacity::InnerCalls>();
    };

    /// A node whose backend server's inner calls are denied.
    struct ParentFixture : AdmissionFixture {
        ParentFixture()
        {
            controller.setInnerCalls(innerCalls);
            warmUp();
        }

        /// Runs calls one after the other, each with an inner call that ends so.
        void run(int calls, capacity::InnerCallEnd end, BackendResult result)
        {
            for (int i = 0; i < calls; ++i) {
                const auto it = request();
                const bool isRun = isDispatched(arrive(it), it.id);
                now += 20ms;
                if (!isRun)
                    continue;
                innerCalls->onEnded(end, now);
                finish(it.id, result, 20ms);
            }
        }

        /// \returns the refusals of calls that arrive now.
        std::vector<Refusal> refusals(int calls)
        {
            std::vector<Refusal> all;
            for (int i = 0; i < calls; ++i) {
                const auto it = request();
                if (const auto refusal = refusalOf(arrive(it), it.id))
                    all.push_back(*refusal);
                else
                    finish(it.id, BackendResult::Answered, 1ms);
            }
            return all;
        }

        std::shared_ptr<capacity::InnerCalls> innerCalls = std::make_shared<capacity::InnerCalls>();
    };

    /// A node that serves first requests, and two inner calls at a time.
    struct CalleeFixture : AdmissionFixture {
        CalleeFixture()
            : AdmissionFixture(makeUpstream(), byObjective())
        {
            warmUp();
            serveInnerCalls();
            for (int i = 0; i < 6; ++i) {
                running.push_back(firstRequest());
                arrive(running.back());
            }
        }

        static AdmissionPolicy byObjective()
        {
            AdmissionPolicy it;
            it.order.byObjective = true;
            return it;
        }

        AdmissionRequest firstRequest()
        {
            auto it = request();
            it.objective = now + 1s;
            return it;
        }
        AdmissionRequest innerCall(std::chrono::milliseconds objective = 1s)
        {
            auto it = request();
            it.objective = now + objective;
            it.isInner = true;
            return it;
        }

        void serveInnerCalls()
        {
            std::vector<AdmissionRequest> calls;
            for (int i = 0; i < 200; ++i) {
                calls.push_back(innerCall());
                arrive(calls.back());
                now += 20ms;
                if (i > 0)
                    finish(calls[i - 1].id, BackendResult::Answered, 40ms);
            }
            finish(calls.back().id, BackendResult::Answered, 40ms);
        }

        /// An inner call finds no room, since all slots are taken.
        void denyInnerCall()
        {
            const auto it = innerCall(1ms);
            BOOST_REQUIRE(refusalOf(arrive(it), it.id).has_value());
        }

        void freeSlots(int n)
        {
            for (; n > 0; --n, running.pop_back())
                finish(running.back().id, BackendResult::Answered, 40ms);
        }

        bool isRunAtOnce(const AdmissionRequest& it) { return isDispatched(arrive(it), it.id); }

        std::vector<AdmissionRequest> running;
    };

}

BOOST_AUTO_TEST_SUITE(Inner_calls_of_backend_servers)

BOOST_AUTO_TEST_CASE(Slots_are_kept_for_inner_calls_after_one_found_no_room)
{
    CalleeFixture it;
    it.denyInnerCall();
    it.freeSlots(2);
    BOOST_TEST(!it.isRunAtOnce(it.firstRequest()));
    BOOST_TEST(it.isRunAtOnce(it.innerCall()));
    BOOST_TEST(it.isRunAtOnce(it.innerCall()));
}

BOOST_AUTO_TEST_CASE(First_requests_keep_half_of_the_slots_at_least)
{
    CalleeFixture it;
    it.denyInnerCall();
    it.freeSlots(4);
    BOOST_TEST(it.isRunAtOnce(it.firstRequest()));
}

BOOST_AUTO_TEST_CASE(No_slot_is_kept_while_inner_calls_find_room)
{
    CalleeFixture it;
    it.freeSlots(2);
    BOOST_TEST(it.isRunAtOnce(it.firstRequest()));
    BOOST_TEST(it.isRunAtOnce(it.firstRequest()));
}

BOOST_AUTO_TEST_CASE(Slots_are_no_longer_kept_once_inner_calls_have_found_room_for_two_seconds)
{
    CalleeFixture it;
    it.denyInnerCall();
    it.freeSlots(2);
    it.now += 2s;
    BOOST_TEST(it.isRunAtOnce(it.firstRequest()));
    BOOST_TEST(it.isRunAtOnce(it.firstRequest()));
}

BOOST_AUTO_TEST_CASE(A_call_without_a_key_beside_a_running_one_is_taken_for_an_inner_one)
{
    InnerFixture it;
    it.router.setConfiguration(makeConfigurationWithWorkspace());
    BOOST_TEST(it.isInner(makeCall("GET", "/bookings")));
}

BOOST_AUTO_TEST_CASE(A_call_with_a_key_is_not_taken_for_an_inner_one)
{
    InnerFixture it;
    it.router.setConfiguration(makeConfigurationWithWorkspace());
    auto call = makeCall("GET", "/bookings");
    call.apiKey = digestOf("shop-key");
    BOOST_TEST(!it.isInner(call));
}

// Guards against inner calls that are refused though their parent has time for their answer.
BOOST_AUTO_TEST_CASE(An_inner_call_is_offered_with_its_deadline_in_place_of_its_objective)
{
    InnerFixture it;
    const auto configuration = makeConfigurationWithWorkspace();
    auto& route = configuration->set.routes[RouteName { "list" }].route;
    route.objective = 150ms;
    route.timeout = 400ms;
    it.router.setConfiguration(configuration);
    BOOST_CHECK((it.firstAttempt(makeCall("GET", "/bookings")).objective == it.now + 400ms));
    auto call = makeCall("GET", "/bookings");
    call.apiKey = digestOf("shop-key");
    BOOST_CHECK((it.firstAttempt(call).objective == it.now + 150ms));
}

BOOST_AUTO_TEST_CASE(Without_workspaces_no_call_is_taken_for_an_inner_one)
{
    InnerFixture it;
    BOOST_TEST(!it.isInner(makeCall("GET", "/bookings")));
}

BOOST_AUTO_TEST_CASE(A_call_whose_inner_calls_find_no_room_is_refused_as_not_run)
{
    ParentFixture it;
    it.run(40, capacity::InnerCallEnd::Denied, BackendResult::ServerError);
    const auto refusals = it.refusals(20);
    BOOST_TEST(refusals.size() >= 10U);
    for (const auto& refusal : refusals) {
        BOOST_TEST((refusal.reason == RefusalReason::Overloaded));
        BOOST_TEST((refusal.outcome == Outcome::NotRun));
        BOOST_TEST(refusal.retryAfter.has_value());
    }
}

BOOST_AUTO_TEST_CASE(A_call_that_was_refused_for_its_inner_calls_may_be_sent_here_again)
{
    ParentFixture it;
    it.run(40, capacity::InnerCallEnd::Denied, BackendResult::ServerError);
    it.refusals(20);
    const auto request = it.request();
    BOOST_REQUIRE(refusalOf(it.arrive(request), request.id).has_value());
    it.now += 1500ms;
    const auto again = it.arrive(request);
    BOOST_TEST(isDispatched(again, request.id));
}

BOOST_AUTO_TEST_CASE(Calls_that_fail_for_other_reasons_are_not_refused)
{
    ParentFixture it;
    it.run(40, capacity::InnerCallEnd::Answered, BackendResult::ServerError);
    BOOST_TEST(it.refusals(20).empty());
}

BOOST_AUTO_TEST_CASE(An_inner_call_goes_before_a_first_request_of_its_rank)
{
    AdmissionRequest first;
    first.objective = MonotonicTime { 1s };
    auto inner = first;
    inner.isInner = true;
    inner.objective = MonotonicTime { 2s };
    BOOST_TEST(isMoreUrgent(inner, first, MonotonicTime {}));
    BOOST_TEST(!isMoreUrgent(first, inner, MonotonicTime {}));
}

BOOST_AUTO_TEST_CASE(A_first_request_of_a_higher_rank_goes_before_an_inner_call)
{
    AdmissionRequest first;
    first.objective = MonotonicTime { 2s };
    auto inner = first;
    inner.isInner = true;
    inner.priority = 1;
    BOOST_TEST(isMoreUrgent(first, inner, MonotonicTime {}));
}

BOOST_AUTO_TEST_SUITE_END()

}
