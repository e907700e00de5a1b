#include "carobpath/moves/RouteEvidence.h"

namespace carobpath::moves {

namespace {

    /// Part of the serving version's calls that may lie in the slow classes.
    constexpr double slowTail = 0.1;
    constexpr std::uint64_t leastCallsForSlowClass = 20;

    std::uint64_t timedCalls(const EvidenceCounts& counts)
    {
        std::uint64_t n = 0;
        for (const auto count : counts.latency)
            n += count;
        return n;
    }

}

WindowCounts RouteEvidence::sum(std::uint32_t firstWindow, std::uint32_t endWindow) const
{
    WindowCounts result;
    for (auto i = 2 * firstWindow; i < 2 * endWindow && i < windows.size(); ++i) {
        result.from += windows[i].from;
        result.to += windows[i].to;
    }
    return result;
}

std::size_t slowClassOf(const RouteEvidence& evidence)
{
    const auto counts = evidence.sum(0, MovePlan::s_windows).from;
    const auto calls = timedCalls(counts);
    if (calls < leastCallsForSlowClass)
        return latencyClasses;
    std::uint64_t slower = calls;
    for (std::size_t i = 0; i < latencyClasses; ++i) {
        if (static_cast<double>(slower) <= slowTail * static_cast<double>(calls))
            return i;
        slower -= counts.latency[i];
    }
    return latencyClasses;
}

Frequency frequencyOf(const EvidenceCounts& counts, Badness badness, std::size_t slowClass)
{
    if (badness == Badness::Failed)
        return { counts.failed, counts.answered() };
    Frequency it { 0, timedCalls(counts) };
    for (auto i = slowClass; i < latencyClasses; ++i)
        it.events += counts.latency[i];
    return it;
}

}
