#include "carobpath/node/UpstreamMonitor.h"

namespace carobpath::node {

namespace {

    /// \returns whether the run started before the other; never where one of them does not say when.
    bool isBefore(const membership::BackendRun& run, const membership::BackendRun& other)
    {
        return run.startedAt && other.startedAt && *run.startedAt < *other.startedAt;
    }

    /// Equal but for the sequence.
    bool saysTheSame(const Announcement& a, const Announcement& b)
    {
        Announcement other = b;
        other.sequence = a.sequence;
        return a == other;
    }

}

AnnouncementVerdict UpstreamMonitor::onAnnouncement(const Announcement& announcement, MonotonicTime now)
{
    if (isForeign(announcement))
        return AnnouncementVerdict::Foreign;
    if (isLate(announcement))
        return AnnouncementVerdict::Late;
    const bool changed = !m_announcement || !saysTheSame(*m_announcement, announcement);
    m_announcement = announcement;
    m_announcedAt = now;
    return changed ? AnnouncementVerdict::Changed : AnnouncementVerdict::Unchanged;
}

bool UpstreamMonitor::isForeign(const Announcement& it) const
{
    const bool otherService = !m_expected.service.empty() && m_expected.service != it.upstream.service;
    const bool elsewhere = m_expected.endpoint && *m_expected.endpoint != it.backend;
    return otherService || elsewhere;
}

bool UpstreamMonitor::isLate(const Announcement& it) const
{
    if (m_departed && !it.run.instance.empty() && (*m_departed == it.run || isBefore(it.run, *m_departed)))
        return true;
    if (!m_announcement)
        return false;
    if (isBefore(it.run, m_announcement->run))
        return true;
    const bool sameRun = it.run == m_announcement->run;
    return sameRun && it.sequence && m_announcement->sequence && *it.sequence <= *m_announcement->sequence;
}

bool UpstreamMonitor::onDeparture(const membership::BackendRun& run)
{
    if (!m_announcement || m_announcement->run.instance != run.instance || isBefore(run, m_announcement->run))
        return false;
    m_departed = m_announcement->run;
    m_announcement.reset();
    return true;
}

bool UpstreamMonitor::onTick(MonotonicTime now)
{
    if (!m_announcement || now - m_announcedAt <= s_heartbeatTimeout)
        return false;
    m_announcement.reset();
    return true;
}

}
