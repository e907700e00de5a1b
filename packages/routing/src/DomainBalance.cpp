#include "carobpath/routing/DomainBalance.h"

#include <algorithm>
#include <utility>

namespace carobpath::routing {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Bounds what the part changes by after a pause.
    constexpr Seconds longestStep { 1 };

}

void DomainBalance::onLocalCall(std::chrono::nanoseconds took, MonotonicTime now) { m_local.add(Seconds { took }.count(), now); }

void DomainBalance::onRemoteTime(std::chrono::nanoseconds mean, MonotonicTime now) { m_remote.add(Seconds { mean }.count(), now); }

std::optional<std::chrono::nanoseconds> DomainBalance::localTime(MonotonicTime now) const
{
    if (m_local.weight(now) < s_leastLocalWeight)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds { m_local.value() });
}

double DomainBalance::changePerSecond(MonotonicTime now) const
{
    const bool areKnown = m_local.weight(now) >= s_leastLocalWeight && m_remote.weight(now) >= s_leastRemoteWeight;
    if (!areKnown || m_local.value() <= 0 || m_remote.value() <= 0)
        return -s_decayPerSecond;
    const double ratio = m_local.value() / m_remote.value();
    if (ratio > s_tolerance)
        return s_gainPerSecond * (1 - s_tolerance / ratio);
    if (ratio < 1)
        return -s_gainPerSecond * (1 - ratio) - s_decayPerSecond;
    return -s_decayPerSecond;
}

double DomainBalance::remoteShare(MonotonicTime now)
{
    const auto before = std::exchange(m_updatedAt, now).value_or(now);
    const auto step = std::min<Seconds>(now - before, longestStep);
    m_share = std::clamp(m_share + changePerSecond(now) * step.count(), 0.0, s_mostShare);
    return m_share;
}

}
