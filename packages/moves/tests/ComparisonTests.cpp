#include "carobpath/moves/Comparison.h"
#include "carobpath/moves/MoveAssessor.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace carobpath::moves {

using namespace std::chrono_literals;

namespace {

    EvidenceCounts counts(std::uint64_t calls, std::uint64_t failed)
    {
        EvidenceCounts it;
        it.succeeded = calls - failed;
        it.failed = failed;
        it.latency[3] = calls - failed;
        return it;
    }

    void add(RouteEvidence& evidence, std::uint32_t window, EvidenceCounts from, EvidenceCounts to)
    {
        evidence.add(MovePlan::evidenceWindow(window, false), false, from);
        evidence.add(MovePlan::evidenceWindow(window, false), true, to);
    }

    /// A naive single-look test for comparison: a normal approximation of the difference of two rates, at a significance
    /// level of 0.001.
    bool naiveTest(const EvidenceCounts& from, const EvidenceCounts& to)
    {
        const Frequency a { from.failed, from.answered() };
        const Frequency b { to.failed, to.answered() };
        const auto pooled = static_cast<double>(a.events + b.events) / static_cast<double>(a.calls + b.calls);
        const auto deviation = std::sqrt(pooled * (1 - pooled) * (1 / static_cast<double>(a.calls) + 1 / static_cast<double>(b.calls)));
        constexpr double oneInAThousand = 3.09;
        return b.events > 0 && b.rate() - a.rate() > oneInAThousand * deviation;
    }

}

BOOST_AUTO_TEST_SUITE(ComparisonOfVersions)

BOOST_AUTO_TEST_CASE(Failures_of_the_new_version_alone_exceed_the_threshold)
{
    RouteEvidence evidence;
    add(evidence, 0, counts(190, 0), counts(10, 6));
    BOOST_TEST(logEvidence(evidence, RegressionKind::Failed, evidence.slowClass(), 1) > std::log(2 / MoveAssessor::s_falsePositiveRate));
    BOOST_TEST(isExcessLarge(evidence, RegressionKind::Failed, evidence.slowClass(), 0));
}

BOOST_AUTO_TEST_CASE(Failures_that_both_versions_share_give_no_evidence_although_they_exceed_a_fixed_limit)
{
    RouteEvidence evidence;
    add(evidence, 0, counts(190, 95), counts(10, 5));
    BOOST_TEST(logEvidence(evidence, RegressionKind::Failed, evidence.slowClass(), 1) < 0.0);
    const auto to = frequencyOf(evidence.window(0).to, RegressionKind::Failed, evidence.slowClass());
    constexpr double naiveLimit = 0.05;
    BOOST_TEST(to.rate() > naiveLimit);
}

BOOST_AUTO_TEST_CASE(A_change_of_share_between_windows_is_not_a_regression)
{
    // Both versions fail alike, but only while the new one has most calls, so that it looks worse in the pooled counts.
    RouteEvidence evidence;
    add(evidence, 0, counts(950, 0), counts(50, 0));
    add(evidence, 1, counts(50, 10), counts(950, 190));
    BOOST_TEST(logEvidence(evidence, RegressionKind::Failed, evidence.slowClass(), 2) < 1.0);
    const auto all = evidence.sum(0, 2);
    BOOST_TEST(naiveTest(all.from, all.to));
}

BOOST_AUTO_TEST_CASE(A_version_slower_than_the_latency_classes_of_the_serving_one_exceeds_the_threshold)
{
    RouteEvidence evidence;
    auto slow = counts(20, 0);
    slow.latency[3] = 0;
    slow.latency[6] = 20;
    add(evidence, 0, counts(180, 0), slow);
    BOOST_TEST(evidence.slowClass() == 4U);
    BOOST_TEST(logEvidence(evidence, RegressionKind::Slow, evidence.slowClass(), 1) > std::log(2 / MoveAssessor::s_falsePositiveRate));
}

BOOST_AUTO_TEST_CASE(Repeated_assessment_does_not_raise_the_false_positive_rate_as_it_does_for_a_single_look_test)
{
    constexpr int moves = 400;
    constexpr double rate = 0.03;
    std::mt19937_64 random { 20261203 };
    int naive = 0;
    int sequential = 0;
    for (int i = 0; i < moves; ++i) {
        RouteEvidence evidence;
        bool isNaive = false;
        bool isSequential = false;
        for (std::uint32_t look = 0; look < MovePlan::s_windows * 20; ++look) {
            std::binomial_distribution<std::uint64_t> from { 90, rate };
            std::binomial_distribution<std::uint64_t> to { 10, rate };
            const auto window = look / 20;
            add(evidence, window, counts(90, from(random)), counts(10, to(random)));
            const auto all = evidence.sum(0, window + 1);
            isNaive = isNaive || naiveTest(all.from, all.to);
            isSequential = isSequential || logEvidence(evidence, RegressionKind::Failed, evidence.slowClass(), window + 1) > std::log(1 / MoveAssessor::s_falsePositiveRate);
        }
        naive += isNaive ? 1 : 0;
        sequential += isSequential ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("of " << moves << ": single-look test " << naive << ", sequential test " << sequential);
    BOOST_TEST(sequential <= 2);
    BOOST_TEST(naive >= 10);
}

BOOST_AUTO_TEST_SUITE_END()

}
