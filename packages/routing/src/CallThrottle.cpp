#include "carobpath/routing/CallThrottle.h"

#include <algorithm>
#include <cmath>

namespace carobpath::routing {

CallThrottle::Counts& CallThrottle::countsOf(std::uint32_t rank, MonotonicTime now)
{
    auto& counts = m_byRank[rank];
    const std::chrono::duration<double> age = now - counts.at;
    const double kept = std::exp(-age / s_memory);
    counts.asked *= kept;
    counts.taken *= kept;
    counts.at = now;
    return counts;
}

bool CallThrottle::tryOffer(std::uint32_t rank, double draw, MonotonicTime now)
{
    auto& counts = countsOf(rank, now);
    const double excess = counts.asked - s_offeredPerTaken * counts.taken - s_bearableRefusals;
    const double refused = std::min(s_maxRefusedPart, excess / (counts.asked + 1));
    if (draw >= refused)
        return true;
    counts.asked += 1;
    return false;
}

void CallThrottle::onEnded(std::uint32_t rank, bool isTaken, std::optional<std::chrono::milliseconds> retryAfter, MonotonicTime now)
{
    auto& counts = countsOf(rank, now);
    counts.asked += 1;
    counts.taken += isTaken ? 1 : 0;
    if (retryAfter)
        counts.retryAfter = *retryAfter;
}

std::chrono::milliseconds CallThrottle::retryAfter(std::uint32_t rank) const
{
    const auto it = m_byRank.find(rank);
    return std::max(s_minRetryAfter, it == m_byRank.end() ? s_minRetryAfter : it->second.retryAfter);
}

}
