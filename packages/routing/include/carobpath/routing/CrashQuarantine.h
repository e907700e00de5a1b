#pragma once

#include "carobpath/routing/CrashReport.h"
#include "carobpath/routing/RecentFingerprints.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carobpath::routing {

/// Finds requests that crash every backend server that runs them, from the crash reports of all nodes, and refuses
/// them for the quarantine time.
///
/// Each crash is attributed in equal parts to those of its suspects that are involved in the most crashes. A request is
/// a culprit once the parts attributed to it add up to two crashes; a crash that a culprit explains is no evidence
/// against other requests. A request that a server answered shortly before a crash, or at any time after it, is cleared
/// of that crash. Therefore a request that runs on all servers all the time is never a culprit of crashes that other
/// requests cause. Two suspects of the same crashes cannot be distinguished. To avoid this, a node does not run two
/// suspects at the same time (\c isSuspect).
class CrashQuarantine {
public:
    static constexpr std::chrono::minutes s_quarantineTime { 5 };
    /// Time for which a crash is taken into account.
    static constexpr std::chrono::minutes s_reportTime { 15 };
    /// An answer clears its request of crashes that happen up to this time after it.
    static constexpr std::chrono::seconds s_clearanceTime { 10 };
    static constexpr std::size_t s_maxReports = 256;
    static constexpr std::size_t s_maxSuspects = 64;
    static constexpr std::size_t s_maxClearances = 4096;

    CrashQuarantine(NodeName, Incarnation);

    /// The backend server next to this node crashed.
    void onCrash(std::vector<Fingerprint> suspects, Now);
    /// The backend server next to this node answered the request, with any status.
    void onAnswered(Fingerprint, Now);
    /// Merges the entries of other nodes.
    void merge(const CrashUpdate&, Now);
    /// Removes expired entries; to be called every few seconds.
    void onTick(Now);

    /// \returns for how long the request is still to be refused; empty if it is not in quarantine.
    std::optional<std::chrono::milliseconds> refusedFor(Fingerprint, MonotonicTime now) const;
    /// \returns whether the request is suspected of a crash and not cleared.
    bool isSuspect(Fingerprint fingerprint) const { return m_suspects.contains(fingerprint); }

    /// \returns the entries that were created or received since the last call, to be sent on to other nodes.
    CrashUpdate takeUpdate();
    /// \returns all stored entries, for a node that starts.
    CrashUpdate snapshot() const;

private:
    using ReportId = std::pair<NodeName, Revision>;

    void addReport(const CrashReport&, Now);
    void dropOldestReport();
    void addClearance(const CrashClearance&, Now);
    void clearIfAnswered(Fingerprint, WallTime crashedAt, Now);
    bool isCleared(Fingerprint, WallTime crashedAt) const;
    void updateCulprits(Now);
    void quarantine(Fingerprint, Now);

    NodeName m_node;
    Revision m_revision;
    RecentFingerprints m_answered;
    std::map<ReportId, CrashReport> m_reports;
    std::unordered_map<Fingerprint, CrashClearance> m_clearances;
    std::set<Fingerprint> m_suspects;
    std::unordered_map<Fingerprint, MonotonicTime> m_refusedUntil;
    CrashUpdate m_outgoing;
};

}
