#include "carobpath/routing/CrashQuarantine.h"

#include "CrashAttribution.h"

#include <algorithm>

namespace carobpath::routing {

namespace {

    using std::chrono::milliseconds;

    WallTime toWall(MonotonicTime at, Now now)
    {
        return now.wall - std::chrono::duration_cast<milliseconds>(now.monotonic - at);
    }

}

CrashQuarantine::CrashQuarantine(NodeName node, Incarnation incarnation)
    : m_node(std::move(node))
    , m_revision { incarnation, 0 }
{
}

void CrashQuarantine::onCrash(std::vector<Fingerprint> suspects, Now now)
{
    if (suspects.empty())
        return;
    if (suspects.size() > s_maxSuspects)
        suspects.resize(s_maxSuspects);
    ++m_revision.sequence;
    addReport({ m_node, m_revision, now.wall, std::move(suspects) }, now);
    updateCulprits(now);
}

void CrashQuarantine::onAnswered(Fingerprint fingerprint, Now now)
{
    m_answered.add(fingerprint, now.monotonic);
    if (!isSuspect(fingerprint))
        return;
    addClearance({ m_node, fingerprint, now.wall }, now);
    updateCulprits(now);
}

void CrashQuarantine::merge(const CrashUpdate& update, Now now)
{
    for (const auto& it : update.clearances)
        addClearance(it, now);
    for (const auto& it : update.reports)
        addReport(it, now);
    updateCulprits(now);
}

void CrashQuarantine::addReport(const CrashReport& report, Now now)
{
    if (report.suspects.size() > s_maxSuspects || report.at + s_reportTime <= now.wall)
        return;
    if (!m_reports.try_emplace({ report.node, report.revision }, report).second)
        return;
    if (m_reports.size() > s_maxReports)
        dropOldestReport();
    if (!m_reports.contains({ report.node, report.revision }))
        return;
    if (m_outgoing.reports.size() < s_maxReports)
        m_outgoing.reports.push_back(report);
    for (const auto it : report.suspects)
        clearIfAnswered(it, report.at, now);
}

void CrashQuarantine::dropOldestReport()
{
    const auto oldest = std::min_element(m_reports.begin(), m_reports.end(),
        [](const auto& a, const auto& b) { return a.second.at < b.second.at; });
    m_reports.erase(oldest);
}

void CrashQuarantine::clearIfAnswered(Fingerprint fingerprint, WallTime crashedAt, Now now)
{
    const auto seen = m_answered.lastSeen(fingerprint);
    if (!seen || isCleared(fingerprint, crashedAt))
        return;
    const auto answeredAt = toWall(*seen, now);
    if (answeredAt + s_clearanceTime >= crashedAt)
        addClearance({ m_node, fingerprint, answeredAt }, now);
}

void CrashQuarantine::addClearance(const CrashClearance& clearance, Now now)
{
    if (clearance.at + s_reportTime <= now.wall)
        return;
    const auto it = m_clearances.find(clearance.fingerprint);
    if (it != m_clearances.end() && it->second.at >= clearance.at)
        return;
    if (it == m_clearances.end() && m_clearances.size() >= s_maxClearances)
        return;
    m_clearances[clearance.fingerprint] = clearance;
    if (m_outgoing.clearances.size() < s_maxClearances)
        m_outgoing.clearances.push_back(clearance);
}

bool CrashQuarantine::isCleared(Fingerprint fingerprint, WallTime crashedAt) const
{
    const auto it = m_clearances.find(fingerprint);
    return it != m_clearances.end() && it->second.at + s_clearanceTime >= crashedAt;
}

void CrashQuarantine::updateCulprits(Now now)
{
    std::vector<CrashSuspects> crashes;
    m_suspects.clear();
    for (const auto& [id, report] : m_reports) {
        CrashSuspects uncleared;
        for (const auto it : report.suspects) {
            if (!isCleared(it, report.at))
                uncleared.insert(it);
        }
        m_suspects.insert(uncleared.begin(), uncleared.end());
        crashes.push_back(std::move(uncleared));
    }
    std::set<Fingerprint> known;
    for (const auto& [fingerprint, until] : m_refusedUntil)
        known.insert(fingerprint);
    const auto culprits = findCulprits(std::move(crashes), known);
    std::erase_if(m_refusedUntil, [&](const auto& it) { return !culprits.contains(it.first); });
    for (const auto it : culprits)
        quarantine(it, now);
}

void CrashQuarantine::quarantine(Fingerprint fingerprint, Now now)
{
    auto last = WallTime::min();
    for (const auto& [id, report] : m_reports) {
        if (std::find(report.suspects.begin(), report.suspects.end(), fingerprint) != report.suspects.end())
            last = std::max(last, report.at);
    }
    // A reporting node whose wall clock is ahead cannot prolong the quarantine.
    const auto left = std::min<milliseconds>(last + s_quarantineTime - now.wall, s_quarantineTime);
    m_refusedUntil[fingerprint] = now.monotonic + left;
}

std::optional<milliseconds> CrashQuarantine::refusedFor(Fingerprint fingerprint, MonotonicTime now) const
{
    const auto it = m_refusedUntil.find(fingerprint);
    if (it == m_refusedUntil.end() || it->second <= now)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(it->second - now);
}

void CrashQuarantine::onTick(Now now)
{
    const auto isOver = [&](WallTime at) { return at + s_reportTime <= now.wall; };
    const auto reports = std::erase_if(m_reports, [&](const auto& it) { return isOver(it.second.at); });
    const auto clearances = std::erase_if(m_clearances, [&](const auto& it) { return isOver(it.second.at); });
    if (reports + clearances > 0)
        updateCulprits(now);
}

CrashUpdate CrashQuarantine::takeUpdate() { return std::exchange(m_outgoing, {}); }

CrashUpdate CrashQuarantine::snapshot() const
{
    CrashUpdate update;
    for (const auto& [id, report] : m_reports)
        update.reports.push_back(report);
    for (const auto& [fingerprint, clearance] : m_clearances)
        update.clearances.push_back(clearance);
    return update;
}

}
