#include "carobpath/routing/DownloadLimit.h"

#include <algorithm>
#include <limits>

namespace carobpath::routing {

void DownloadLimit::onAnswered(std::uint64_t bodyBytes)
{
    const auto sample = static_cast<double>(bodyBytes);
    m_meanBytes = m_meanBytes > 0 ? m_meanBytes + s_weight * (sample - m_meanBytes) : sample;
}

std::uint32_t DownloadLimit::value() const
{
    constexpr auto unlimited = std::numeric_limits<std::uint32_t>::max();
    if (m_linkBytesPerSecond <= 0 || m_meanBytes <= 0)
        return unlimited;
    const std::chrono::duration<double> backlog = s_longestBacklog;
    const double downloads = m_linkBytesPerSecond * backlog.count() / m_meanBytes;
    return static_cast<std::uint32_t>(std::clamp(downloads, 1.0, static_cast<double>(unlimited)));
}

}
