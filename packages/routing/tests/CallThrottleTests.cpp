#include "carobpath/routing/CallThrottle.h"

#include "EntryFixture.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <string>
#include <vector>

namespace carobpath::routing::tests {

namespace {

    /// A service that takes a number of calls a second and refuses the others, behind one entry node.
    struct LimitedService {
        CallThrottle throttle;
        std::mt19937_64 random { 3 };
        MonotonicTime now = startTime;
        /// Time that each refusal takes.
        std::chrono::milliseconds refusalTime = CallThrottle::s_slowRefusal;
        std::size_t asked = 0;
        std::size_t offered = 0;
        std::size_t taken = 0;

        void run(double askedPerSecond, double takenPerSecond, std::chrono::milliseconds time, OfferClass offers = {})
        {
            asked = 0;
            offered = 0;
            taken = 0;
            const std::chrono::duration<double> interval { 1 / askedPerSecond };
            double room = 1;
            for (const auto end = now + time; now < end; now += std::chrono::duration_cast<MonotonicClock::duration>(interval)) {
                ++asked;
                room = std::min(takenPerSecond / 10, room + takenPerSecond * interval.count());
                if (!throttle.mayOffer(offers, std::uniform_real_distribution<double> {}(random), now))
                    continue;
                ++offered;
                const bool isTaken = room >= 1;
                room -= isTaken ? 1 : 0;
                taken += isTaken ? 1 : 0;
                if (isTaken)
                    throttle.onTaken(offers, now);
                else
                    throttle.onRefused(offers, refusalTime, std::nullopt, now);
            }
        }
    };

    std::vector<membership::KnownNode> makeNodes(int count)
    {
        std::vector<membership::KnownNode> nodes;
        nodes.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            nodes.push_back(makeNode("n-" + std::to_string(i), "v1"));
        return nodes;
    }

    /// An entry node whose service refuses every call for load.
    struct FullService : EntryFixture {
        explicit FullService(int nodes = 1)
            : EntryFixture(makeNodes(nodes))
        {
            EntryPolicy policy;
            policy.throttlesCalls = true;
            router.setPolicy(policy);
        }

        /// \returns how many of the calls were offered; \c last is the refusal of one that was not.
        int call(int n)
        {
            int offered = 0;
            for (int i = 0; i < n; ++i, now += 10ms) {
                const auto decision = router.begin(makeCall("GET", "/x"), now);
                auto command = decision->start(now);
                if (const auto* refused = std::get_if<AnswerRefusal>(&command)) {
                    last = refused->refusal;
                    continue;
                }
                ++offered;
                while (std::holds_alternative<SendAttempt>(command)) {
                    ++attempts;
                    auto result = ended(Outcome::NotRun, RefusalReason::Overloaded, 503);
                    result.retryAfter = 300ms;
                    result.latency = refusalTime;
                    command = decision->onAttemptFinished(result, now);
                }
            }
            return offered;
        }

        Refusal last;
        std::chrono::milliseconds refusalTime = CallThrottle::s_slowRefusal;
        /// Offers of all calls.
        int attempts = 0;
    };

}

BOOST_AUTO_TEST_SUITE(The_call_throttle)

BOOST_AUTO_TEST_CASE(Offers_every_call_while_the_service_takes_most)
{
    LimitedService service;
    service.run(100, 90, 60s);
    BOOST_TEST(service.offered == 6000U);
}

// Guards against refused calls that use up the instances that could serve others.
BOOST_AUTO_TEST_CASE(Offers_hardly_more_than_the_service_takes_however_many_ask)
{
    for (const double asked : { 200.0, 400.0, 1600.0 }) {
        LimitedService service;
        service.run(asked, 50, 5s);
        service.run(asked, 50, 60s);
        BOOST_TEST(service.taken >= 60U * 50 * 95 / 100);
        const auto probes = asked * 60 * CallThrottle::s_probePart;
        BOOST_TEST(static_cast<double>(service.offered) <= 60 * 50 * (1 + CallThrottle::s_earnedPerTaken) * 1.1 + probes);
    }
}

BOOST_AUTO_TEST_CASE(Finds_room_that_has_come_back_within_seconds)
{
    LimitedService service;
    service.run(100, 100, 5s);
    service.run(300, 5, 20s);
    service.run(100, 100, 5s);
    service.run(100, 100, 1s);
    BOOST_TEST(service.taken >= 95U);
}

// Guards against callers of a quiet instance who are sent away for a few refusals.
BOOST_AUTO_TEST_CASE(Offers_every_call_of_an_instance_with_few_calls)
{
    LimitedService service;
    service.run(6, 2, 60s);
    BOOST_TEST(service.offered == service.asked);
}

// Guards against callers who are sent away from a service that is busy but not behind: its refusals cost hardly anything.
BOOST_AUTO_TEST_CASE(Offers_every_call_while_refusals_come_at_once)
{
    LimitedService service;
    service.refusalTime = 2ms;
    service.run(100, 30, 60s);
    BOOST_TEST(service.offered == 6000U);
}

// Guards against in-time calls that are refused since many late ones find no room.
BOOST_AUTO_TEST_CASE(Keeps_late_calls_apart)
{
    LimitedService service;
    service.run(200, 1, 5s, { 0, true });
    service.run(100, 100, 1s);
    BOOST_TEST(service.offered == 100U);
}

// Guards against late calls that are offered to busy upstreams again and again.
BOOST_AUTO_TEST_CASE(Offers_late_calls_by_what_is_taken_alone)
{
    LimitedService service;
    service.run(100, 1, 10s, { 0, true });
    service.run(100, 1, 60s, { 0, true });
    const auto probes = 100 * 60 * CallThrottle::s_probePart;
    BOOST_TEST(static_cast<double>(service.offered) <= probes * 1.1 + static_cast<double>(service.taken) * (1 + CallThrottle::s_earnedPerTaken));
    service.run(100, 100, 2s, { 0, true });
    service.run(100, 100, 1s, { 0, true });
    BOOST_TEST(service.taken >= 95U);
}

// Guards against callers who are sent away long after room has come back, at nodes with few calls for a service with few upstreams.
BOOST_AUTO_TEST_CASE(Offers_all_calls_again_within_seconds_at_a_node_with_few_calls)
{
    LimitedService service;
    service.throttle.setEarned(1);
    service.run(20, 0.1, 10s);
    service.run(2, 100, 5s);
    service.run(2, 100, 10s);
    BOOST_TEST(service.offered == service.asked);
}

// Guards against quick refusals that are not bounded at all.
BOOST_AUTO_TEST_CASE(Bounds_offers_that_are_refused_at_once_by_their_smaller_cost)
{
    LimitedService service;
    service.refusalTime = 0ms;
    service.run(1600, 1, 5s);
    service.run(1600, 1, 20s);
    const auto bearable = 20 * CallThrottle::s_bearablePerUpstream / CallThrottle::s_minCost;
    const auto probes = 1600 * 20 * CallThrottle::s_probePart;
    BOOST_TEST(static_cast<double>(service.offered) <= bearable + probes + static_cast<double>(service.taken) / CallThrottle::s_minCost);
}

BOOST_AUTO_TEST_CASE(Keeps_ranks_apart)
{
    LimitedService service;
    service.run(200, 1, 5s, { 2 });
    service.run(100, 100, 1s);
    BOOST_TEST(service.offered == 100U);
}

// Guards against refused calls each of which costs as many offers as there are instances.
BOOST_AUTO_TEST_CASE(Bounds_the_offers_to_a_service_that_refuses_all_however_many_nodes_it_has)
{
    FullService service(6);
    service.call(100);
    service.attempts = 0;
    constexpr int calls = 200;
    service.call(calls);
    const std::chrono::duration<double> time = calls * 10ms;
    const auto probes = (calls + service.attempts) * CallThrottle::s_probePart;
    BOOST_TEST(service.attempts > 0);
    BOOST_TEST(service.attempts <= probes + time.count() * CallThrottle::s_bearablePerUpstream);
}

BOOST_AUTO_TEST_CASE(A_call_without_an_offer_is_told_that_it_has_not_run_and_when_to_come_back)
{
    FullService service;
    service.call(100);
    constexpr int calls = 200;
    const int offered = service.call(calls);
    const std::chrono::duration<double> time = calls * 10ms;
    BOOST_TEST(offered > 0);
    BOOST_TEST(offered <= calls * CallThrottle::s_probePart + time.count() * CallThrottle::s_bearablePerUpstream);
    BOOST_TEST((service.last.outcome == Outcome::NotRun));
    BOOST_TEST((service.last.reason == RefusalReason::Overloaded));
    BOOST_TEST((service.last.retryAfter.value_or(0ms) >= CallThrottle::s_minRetryAfter));
}

BOOST_AUTO_TEST_SUITE_END()

}
