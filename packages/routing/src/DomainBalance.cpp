#include "carobpath/routing/DomainBalance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace carobpath::routing {

namespace {

    using Seconds = std::chrono::duration<double>;

    /// Bounds what the part changes by after a pause.
    constexpr Seconds longestStep { 1 };

}

double FadingMean::fading(MonotonicTime now) const { return std::exp(-Seconds { now - m_at } / s_memory); }

void FadingMean::add(std::chrono::nanoseconds sample, MonotonicTime now)
{
    const double factor = fading(now);
    m_seconds = m_seconds * factor + Seconds { sample }.count();
    m_weight = m_weight * factor + 1;
    m_at = now;
}

std::optional<std::chrono::nanoseconds> FadingMean::value(double leastWeight, MonotonicTime now) const
{
    if (m_weight * fading(now) < leastWeight)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds { m_seconds / m_weight });
}

double DomainBalance::changePerSecond(MonotonicTime now) const
{
    const auto local = m_local.value(s_leastLocalWeight, now);
    const auto remote = m_remote.value(s_leastRemoteWeight, now);
    if (!local || !remote || local->count() <= 0 || remote->count() <= 0)
        return -s_decayPerSecond;
    const double ratio = Seconds { *local } / Seconds { *remote };
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
