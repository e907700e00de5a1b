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
    m_newestRun = announcement.run;
    m_newestSequence = announcement.sequence;
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
    const bool mayBeUnseen = m_departedUnseen && it.run.instance == m_departedUnseen->instance;
    if (mayBeUnseen && !(it.run.startedAt && *it.run.startedAt > *m_departedUnseen->startedAt))
        return true;
    if (!m_newestRun)
        return false;
    if (isBefore(it.run, *m_newestRun))
        return true;
    const bool isSameRun = it.run == *m_newestRun;
    return isSameRun && it.sequence && m_newestSequence && *it.sequence <= *m_newestSequence;
}

bool UpstreamMonitor::onDeparture(const membership::BackendRun& run, WallTime wallNow)
{
    const bool isHeld = m_announcement && m_announcement->run.instance == run.instance;
    if (!isHeld) {
        m_departedUnseen = membership::BackendRun { run.instance, run.startedAt.value_or(wallNow) };
        return false;
    }
    if (isBefore(run, m_announcement->run))
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
    // A run that doesn't say when it started may be another one of the same name, which counts anew.
    if (!m_newestRun->startedAt)
        m_newestRun.reset();
    return true;
}

}
