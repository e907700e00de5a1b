#include "carobpath/moves/OrderedMovePlan.h"

#include <algorithm>

namespace carobpath::moves {

namespace {

    using std::chrono::milliseconds;
    using Seconds = std::chrono::duration<double>;

    constexpr milliseconds minFull { 500 };
    constexpr milliseconds maxFull { 800 };
    /// All calls go to the new version for the move's duration divided by this.
    constexpr int fullDivisor = 18;
    /// Time for the verdict to reach the store.
    constexpr milliseconds verdictLead { 200 };
    /// Time for the verdict to reach the store if the move is taken back for insufficient evidence.
    constexpr milliseconds giveUpLead { 100 };
    constexpr milliseconds loadTestLength { 1'000 };
    /// Time for every node to receive the evidence of the load test.
    constexpr milliseconds loadTestLead { 1'500 };
    /// Calls per second that saturate one instance with a few slots.
    constexpr double loadTestCallsPerSecond = 30;
    constexpr double maxLoadTestShare = 0.3;
    constexpr double minShare = 0.02;
    constexpr double maxCanaryShare = 0.08;
    /// Fraction of the bound that the plan uses; the rest is a reserve for nodes that receive the order late.
    constexpr double plannedFraction = 0.85;
    constexpr double plannedSlack = 0.5;

}

OrderedMovePlan::OrderedMovePlan(milliseconds duration, const ExposureBound& bound)
    : m_duration(duration)
    , m_bound(bound)
{
}

milliseconds OrderedMovePlan::fullAt() const
{
    const auto full = std::clamp(m_duration / fullDivisor, minFull, maxFull);
    return std::max(m_duration - full, m_duration / 2);
}

milliseconds OrderedMovePlan::loadTestEnd() const
{
    return std::max(fullAt() - loadTestLead, m_duration / 2);
}

milliseconds OrderedMovePlan::loadTestStart() const
{
    return std::max(loadTestEnd() - loadTestLength, m_duration / 2);
}

double OrderedMovePlan::loadTestShare(double callsPerSecond) const
{
    if (callsPerSecond <= 0)
        return maxCanaryShare;
    return std::clamp(loadTestCallsPerSecond / callsPerSecond, minShare, maxLoadTestShare);
}

double OrderedMovePlan::loadTestCalls(double callsPerSecond) const
{
    return callsPerSecond * loadTestShare(callsPerSecond) * Seconds { loadTestEnd() - loadTestStart() }.count();
}

milliseconds OrderedMovePlan::verdictAt() const
{
    return std::max(m_duration - verdictLead, fullAt());
}

milliseconds OrderedMovePlan::giveUpAt() const
{
    return std::max(m_duration - giveUpLead, verdictAt());
}

double OrderedMovePlan::canaryShare(double callsPerSecond) const
{
    if (callsPerSecond <= 0)
        return minShare;
    const Seconds duration = m_duration;
    const Seconds canary = fullAt();
    const double allowed = plannedFraction * m_bound.part * callsPerSecond * duration.count() + plannedSlack * m_bound.slack;
    const double inFull = callsPerSecond * (duration - canary).count();
    const double share = (allowed - inFull - loadTestCalls(callsPerSecond)) / (callsPerSecond * std::max(canary.count(), 1.0));
    return std::clamp(share, minShare, maxCanaryShare);
}

}
