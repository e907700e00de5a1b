#include "carobpath/routing/DownloadLimit.h"

#include <algorithm>
#include <limits>

namespace carobpath::routing {

namespace {

    using std::chrono::nanoseconds;
    using Seconds = std::chrono::duration<double>;

}

void DownloadLimit::onAnswered(std::uint64_t bodyBytes, nanoseconds bodyTime, MonotonicTime now)
{
    const auto bytes = static_cast<double>(bodyBytes);
    m_meanBytes = m_meanBytes > 0 ? m_meanBytes + s_sampleWeight * (bytes - m_meanBytes) : bytes;
    if (m_linkBytesPerSecond <= 0 || m_isMeasured)
        return;
    const Seconds transfer { bytes / m_linkBytesPerSecond };
    m_busyUntil = std::max(m_busyUntil, now - bodyTime) + std::chrono::duration_cast<nanoseconds>(transfer);
}

void DownloadLimit::setBacklog(nanoseconds backlog, MonotonicTime now)
{
    m_isMeasured = true;
    m_busyUntil = now + backlog;
}

void DownloadLimit::onHeader(nanoseconds time)
{
    const auto seconds = std::chrono::duration_cast<Seconds>(time).count();
    m_meanHeaderSeconds = m_meanHeaderSeconds > 0 ? m_meanHeaderSeconds + s_sampleWeight * (seconds - m_meanHeaderSeconds) : seconds;
}

nanoseconds DownloadLimit::backlog(MonotonicTime now) const
{
    return std::max<nanoseconds>(m_busyUntil - now, nanoseconds {});
}

nanoseconds DownloadLimit::untilAllowed(MonotonicTime now) const
{
    const Seconds untilLink { m_isMeasured ? m_meanHeaderSeconds : 0 };
    return std::max<nanoseconds>(backlog(now) - s_maxBacklog - std::chrono::duration_cast<nanoseconds>(untilLink), nanoseconds {});
}

nanoseconds DownloadLimit::untilSent(MonotonicTime now) const
{
    if (m_linkBytesPerSecond <= 0)
        return {};
    if (m_isMeasured)
        return backlog(now);
    const Seconds transfer { m_meanBytes / m_linkBytesPerSecond };
    return std::min<nanoseconds>(backlog(now), s_maxBacklog) + std::chrono::duration_cast<nanoseconds>(transfer);
}

std::uint32_t DownloadLimit::value(MonotonicTime now) const
{
    constexpr auto unlimited = std::numeric_limits<std::uint32_t>::max();
    if (m_linkBytesPerSecond <= 0 || m_meanBytes <= 0)
        return unlimited;
    // Downloads whose servers still work on them keep a paced link busy later.
    const Seconds untilLink { m_isMeasured ? m_meanHeaderSeconds : 0 };
    const Seconds left = untilLink + s_maxBacklog - backlog(now);
    if (left.count() <= 0)
        return 0;
    const double downloads = m_linkBytesPerSecond * left.count() / m_meanBytes;
    return static_cast<std::uint32_t>(std::clamp(downloads, 1.0, static_cast<double>(unlimited)));
}

}
