#include "carobpath/node/UpstreamMonitor.h"

namespace carobpath::node {

bool UpstreamMonitor::onAnnouncement(const Announcement& announcement, MonotonicTime now)
{
    const bool changed = m_announcement != announcement;
    m_announcement = announcement;
    m_announcedAt = now;
    return changed;
}

bool UpstreamMonitor::onTick(MonotonicTime now)
{
    if (!m_announcement || now - m_announcedAt <= s_heartbeatTimeout)
        return false;
    m_announcement.reset();
    return true;
}

}
