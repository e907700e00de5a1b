#include "carobpath/node/UpstreamMonitor.h"

#include <algorithm>
#include <utility>

namespace carobpath::node {

namespace {

    /// \returns whether the run started before the other; never where one of them does not say when.
    bool isBefore(const membership::BackendRun& run, const membership::BackendRun& other)
    {
        return run.startedAt && other.startedAt && *run.startedAt < *other.startedAt;
    }

    /// \returns whether a later announcement came before it, of that run and with that sequence.
    bool isOvertaken(const Announcement& it, const membership::BackendRun& run, const std::optional<std::uint64_t>& sequence)
    {
        if (isBefore(it.run, run))
            return true;
        return it.run == run && it.sequence && sequence && *it.sequence <= *sequence;
    }

    /// Equal but for the sequence.
    bool saysTheSame(const Announcement& a, const Announcement& b)
    {
        Announcement other = b;
        other.sequence = a.sequence;
        return a == other;
    }

}

void UpstreamMonitor::awaitDepartures(MonotonicTime now, WallTime wallNow)
{
    m_departuresDueAt = now + s_departuresTimeout;
    m_startedAt = wallNow;
}

bool UpstreamMonitor::onDepartures(const std::vector<membership::BackendRun>& runs, MonotonicTime now)
{
    for (const auto& it : runs) {
        if (!it.startedAt)
            continue;
        auto& latest = m_departedBefore.try_emplace(it.instance, *it.startedAt).first->second;
        latest = std::max(latest, *it.startedAt);
    }
    m_departuresDueAt.reset();
    if (m_announcement && hasDepartedBefore(*m_announcement)) {
        m_announcement.reset();
        return true;
    }
    return releaseHeld(now);
}

bool UpstreamMonitor::takeHeld(MonotonicTime now)
{
    if (!m_departuresDueAt || now < *m_departuresDueAt)
        return false;
    m_departuresDueAt.reset();
    return releaseHeld(now);
}

bool UpstreamMonitor::releaseHeld(MonotonicTime now)
{
    const auto held = std::exchange(m_held, std::nullopt);
    return held && onAnnouncement(*held, now) == AnnouncementVerdict::Changed;
}

AnnouncementVerdict UpstreamMonitor::onAnnouncement(const Announcement& announcement, MonotonicTime now)
{
    if (isForeign(announcement))
        return AnnouncementVerdict::Foreign;
    if (isLate(announcement))
        return AnnouncementVerdict::Late;
    if (mayHaveDepartedBefore(announcement, now)) {
        m_held = announcement;
        return AnnouncementVerdict::Held;
    }
    m_held.reset();
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
    if (hasDepartedBefore(it))
        return true;
    if (m_held && isOvertaken(it, m_held->run, m_held->sequence))
        return true;
    return m_newestRun && isOvertaken(it, *m_newestRun, m_newestSequence);
}

bool UpstreamMonitor::hasDepartedBefore(const Announcement& it) const
{
    const auto departed = m_departedBefore.find(it.run.instance);
    if (departed == m_departedBefore.end() || it.upstream.state == membership::UpstreamState::Draining)
        return false;
    return !(it.run.startedAt && *it.run.startedAt > departed->second);
}

bool UpstreamMonitor::mayHaveDepartedBefore(const Announcement& it, MonotonicTime now) const
{
    const bool areDeparturesKnown = !m_departuresDueAt || now >= *m_departuresDueAt;
    const bool isKnownRun = m_newestRun && *m_newestRun == it.run;
    if (areDeparturesKnown || isKnownRun || it.upstream.state == membership::UpstreamState::Draining)
        return false;
    return !(it.run.startedAt && *it.run.startedAt > m_startedAt);
}

bool UpstreamMonitor::onDeparture(const membership::BackendRun& run, WallTime wallNow)
{
    if (m_held && m_held->run.instance == run.instance)
        m_held.reset();
    const bool isTaken = m_announcement && m_announcement->run.instance == run.instance;
    if (!isTaken) {
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
