#include "carobpath/moves/OrderedMovePlan.h"

#include <algorithm>

namespace carobpath::moves {

namespace {

    using std::chrono::milliseconds;
    using Seconds = std::chrono::duration<double>;

    constexpr milliseconds shortestFull { 500 };
    constexpr milliseconds longestFull { 800 };
    /// Part of the move's time that all calls go to the new version.
    constexpr int fullDivisor = 18;
    /// Time for the verdict to reach the store.
    constexpr milliseconds verdictLead { 200 };
    /// The same for a move that is taken back since nothing showed its version to be good.
    constexpr milliseconds giveUpLead { 100 };
    constexpr milliseconds focusLength { 1'000 };
    /// Time in which every node hears of what the focus showed.
    constexpr milliseconds focusLead { 1'500 };
    /// Calls a second that fill one instance of a few slots.
    constexpr double focusCallsPerSecond = 30;
    constexpr double largestFocusShare = 0.3;
    constexpr double smallestShare = 0.02;
    constexpr double largestShare = 0.08;
    /// Part of the bound that is planned with; the rest is for nodes that hear of the order late.
    constexpr double plannedPart = 0.85;
    constexpr double plannedSlack = 0.5;

}

OrderedMovePlan::OrderedMovePlan(milliseconds duration, const ExposureBound& bound)
    : m_duration(duration)
    , m_bound(bound)
{
}

milliseconds OrderedMovePlan::fullAt() const
{
    const auto full = std::clamp(m_duration / fullDivisor, shortestFull, longestFull);
    return std::max(m_duration - full, m_duration / 2);
}

milliseconds OrderedMovePlan::focusEnd() const
{
    return std::max(fullAt() - focusLead, m_duration / 2);
}

milliseconds OrderedMovePlan::focusAt() const
{
    return std::max(focusEnd() - focusLength, m_duration / 2);
}

double OrderedMovePlan::focusShare(double callsPerSecond) const
{
    if (callsPerSecond <= 0)
        return largestShare;
    return std::clamp(focusCallsPerSecond / callsPerSecond, smallestShare, largestFocusShare);
}

double OrderedMovePlan::focusCalls(double callsPerSecond) const
{
    return callsPerSecond * focusShare(callsPerSecond) * Seconds { focusEnd() - focusAt() }.count();
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
        return smallestShare;
    const Seconds duration = m_duration;
    const Seconds canary = fullAt();
    const double allowed = plannedPart * m_bound.part * callsPerSecond * duration.count() + plannedSlack * m_bound.slack;
    const double inFull = callsPerSecond * (duration - canary).count();
    const double share = (allowed - inFull - focusCalls(callsPerSecond)) / (callsPerSecond * std::max(canary.count(), 1.0));
    return std::clamp(share, smallestShare, largestShare);
}

}
