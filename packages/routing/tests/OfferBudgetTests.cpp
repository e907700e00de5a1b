#include "EntryFixture.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

namespace carobpath::routing::tests {

namespace {

    constexpr std::size_t localNodes = 8;
    constexpr std::size_t remoteNodes = 24;

    /// An entry node of a large fleet, whose nodes refuse a given part of all offers for load.
    struct BusyFleet {
        EntryFixture fixture { nodes() };
        std::mt19937_64 random { 11 };
        double refusedPart = 0;
        std::size_t offers = 0;
        std::size_t localOffers = 0;
        std::size_t calls = 0;
        std::size_t answers = 0;

        explicit BusyFleet(double part)
            : refusedPart(part)
        {
            EntryPolicy policy;
            policy.localDomainFirst = true;
            policy.maxCandidates = 6;
            fixture.router.setPolicy(policy);
        }

        static std::vector<membership::KnownNode> nodes()
        {
            std::vector<membership::KnownNode> all;
            for (std::size_t i = 0; i < localNodes; ++i)
                all.push_back(makeNode("near-" + std::to_string(i), "v1", "amman-a"));
            for (std::size_t i = 0; i < remoteNodes; ++i)
                all.push_back(makeNode("far-" + std::to_string(i), "v1", "amman-b"));
            return all;
        }

        void call()
        {
            ++calls;
            const auto decision = fixture.router.begin(makeCall("GET", "/x"), fixture.now);
            auto command = decision->start(fixture.now);
            while (const auto* attempt = std::get_if<SendAttempt>(&command)) {
                ++offers;
                localOffers += attempt->node.value().starts_with("near") ? 1 : 0;
                command = decision->onAttemptFinished(answer(), fixture.now);
            }
            answers += std::holds_alternative<RelayAnswer>(command) ? 1 : 0;
        }

        AttemptResult answer()
        {
            const bool refused = std::uniform_real_distribution<double> {}(random) < refusedPart;
            if (!refused)
                return answered(200);
            auto result = ended(Outcome::NotRun, RefusalReason::Overloaded, 503);
            result.retryAfter = 100ms;
            return result;
        }

        /// A hundred calls a second.
        void run(std::chrono::seconds time)
        {
            for (auto until = fixture.now + time; fixture.now < until; fixture.now += 10ms)
                call();
        }
    };

}

// The load: more calls than the backend servers bear, on instances with little processor time.
BOOST_AUTO_TEST_SUITE(Offer_budget)

BOOST_AUTO_TEST_CASE(A_call_is_offered_to_as_many_nodes_as_it_needs_while_few_refuse)
{
    BusyFleet fleet { 0.3 };
    fleet.run(60s);
    BOOST_TEST(fleet.answers > fleet.calls * 99 / 100);
}

BOOST_AUTO_TEST_CASE(While_all_nodes_refuse_offers_are_bounded_by_the_calls)
{
    BusyFleet fleet { 1 };
    fleet.run(60s);
    const EntryPolicy policy;
    const auto bound = static_cast<double>(fleet.calls) * (1 + policy.offers.perCall) + policy.offers.capacity + 60 * policy.offers.perSecond;
    BOOST_TEST(static_cast<double>(fleet.offers) <= bound);
    BOOST_TEST(fleet.answers == 0U);
}

BOOST_AUTO_TEST_CASE(While_most_nodes_refuse_the_last_offers_go_to_remote_domains)
{
    BusyFleet fleet { 0.9 };
    fleet.run(60s);
    BOOST_TEST(fleet.localOffers < fleet.calls * 3 / 2);
    BOOST_TEST(fleet.offers > fleet.calls * 2);
}

BOOST_AUTO_TEST_CASE(A_refused_call_is_told_that_it_has_not_run_and_when_to_come_back)
{
    BusyFleet fleet { 1 };
    fleet.run(60s);
    const auto decision = fleet.fixture.router.begin(makeCall("GET", "/x"), fleet.fixture.now);
    auto command = decision->start(fleet.fixture.now);
    while (std::holds_alternative<SendAttempt>(command))
        command = decision->onAttemptFinished(fleet.answer(), fleet.fixture.now);
    const auto refusal = std::get<AnswerRefusal>(command).refusal;
    BOOST_TEST((refusal.outcome == Outcome::NotRun));
    BOOST_TEST((refusal.reason == RefusalReason::Overloaded));
    BOOST_TEST(refusal.retryAfter.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}
