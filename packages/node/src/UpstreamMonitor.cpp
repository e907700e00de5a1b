#include "carobpath/node/UpstreamMonitor.h"

namespace carobpath::node {

void UpstreamMonitor::onAnnouncement(const Announcement& announcement, MonotonicTime now)
{
    const bool moved = !m_announcement || m_announcement->backend != announcement.backend;
    const bool otherVersion = m_announcement && m_announcement->upstream.version != announcement.upstream.version;
    if (moved || otherVersion)
        m_failures = 0;
    m_announcement = announcement;
    m_announcedAt = now;
}

void UpstreamMonitor::onConnectFailed(MonotonicTime now)
{
    ++m_failures;
    m_failedAt = now;
}

void UpstreamMonitor::onAnswered()
{
    m_failures = 0;
}

bool UpstreamMonitor::isDown(MonotonicTime now) const
{
    const bool silent = now - m_announcedAt > s_heartbeatTimeout;
    const bool refuses = m_failures >= s_failuresUntilDown && now - m_failedAt < s_downTime;
    return silent || refuses;
}

std::optional<membership::Upstream> UpstreamMonitor::upstream(MonotonicTime now) const
{
    if (!m_announcement)
        return std::nullopt;
    auto upstream = m_announcement->upstream;
    if (isDown(now))
        upstream.state = membership::UpstreamState::Down;
    return upstream;
}

std::optional<Endpoint> UpstreamMonitor::backend() const
{
    if (!m_announcement)
        return std::nullopt;
    return m_announcement->backend;
}

}
