#include "carobpath/moves/RouteEvidence.h"

#include <algorithm>

namespace carobpath::moves {

namespace {

    /// Maximum fraction of the serving version's calls in the slow classes.
    constexpr double slowTail = 0.1;
    constexpr std::uint64_t minCallsForSlowClass = 10;

    std::uint64_t timedCalls(const EvidenceCounts& counts)
    {
        std::uint64_t n = 0;
        for (const auto count : counts.latency)
            n += count;
        return n;
    }

}

void RouteEvidence::add(std::uint32_t evidenceWindow, bool isNew, const EvidenceCounts& counts)
{
    const auto version = isNew ? &WindowCounts::to : &WindowCounts::from;
    m_windows.at(evidenceWindow).*version += counts;
    for (auto i = evidenceWindow / 2 + 1; i < m_prefixSums.size(); ++i)
        m_prefixSums[i].*version += counts;
    if (!isNew)
        updateSlowClass();
}

WindowCounts RouteEvidence::sum(std::uint32_t firstWindow, std::uint32_t endWindow) const
{
    const auto& first = m_prefixSums.at(firstWindow);
    const auto& end = m_prefixSums.at(std::min(endWindow, MovePlan::s_windows));
    return { end.from.since(first.from), end.to.since(first.to) };
}

void RouteEvidence::updateSlowClass()
{
    const auto& counts = m_prefixSums.back().from;
    const auto calls = timedCalls(counts);
    m_slowClass = latencyClasses;
    if (calls < minCallsForSlowClass)
        return;
    std::uint64_t slower = calls;
    for (std::size_t i = 0; i < latencyClasses; ++i) {
        if (static_cast<double>(slower) <= slowTail * static_cast<double>(calls)) {
            m_slowClass = i;
            return;
        }
        slower -= counts.latency[i];
    }
}

Frequency frequencyOf(const EvidenceCounts& counts, RegressionKind kind, std::size_t slowClass)
{
    if (kind == RegressionKind::Failed)
        return { counts.failed, counts.answered() };
    Frequency it { 0, timedCalls(counts) };
    for (auto i = slowClass; i < latencyClasses; ++i)
        it.events += counts.latency[i];
    return it;
}

}
