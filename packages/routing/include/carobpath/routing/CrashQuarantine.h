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

/// Finds requests that crash each backend server that runs them, from the reports of all nodes, and refuses
/// them for a while.
///
/// Each crash is blamed on those of its suspects that are in the most crashes, in equal parts. A request is guilty once
/// it alone explains two crashes; crashes that a guilty one explains are no evidence against others.
/// A request that a server answered, shortly before a crash or at any time after it, is no suspect in that crash. So
/// a request that runs everywhere all the time is never blamed for the crashes that it stands beside. Two suspects
/// that are in the same crashes are not told apart: to keep that from happening, a node does not run one
/// suspect beside another (\c isSuspect).
class CrashQuarantine {
public:
    static constexpr std::chrono::minutes s_quarantineTime { 5 };
    /// Time for which a crash counts.
    static constexpr std::chrono::minutes s_reportTime { 15 };
    /// An answer clears its request of crashes up to this time after it.
    static constexpr std::chrono::seconds s_answerCounts { 10 };
    static constexpr std::size_t s_maxReports = 256;
    static constexpr std::size_t s_maxSuspects = 64;
    static constexpr std::size_t s_maxAcquittals = 4096;

    CrashQuarantine(NodeName, Incarnation);

    /// The backend server beside this node crashed.
    void onCrash(std::vector<Fingerprint> suspects, Now);
    /// The backend server beside this node answered the request, with whatever status.
    void onAnswered(Fingerprint, Now);
    /// Entries of other nodes.
    void merge(const CrashUpdate&, Now);
    /// Forgets what is over; to be called once in a few seconds.
    void onTick(Now);

    /// \returns for how long the request is to be refused; nothing where it is not.
    std::optional<std::chrono::milliseconds> refusedFor(Fingerprint, MonotonicTime now) const;
    /// \returns whether the request is suspected of a crash and not cleared.
    bool isSuspect(Fingerprint fingerprint) const { return m_suspects.contains(fingerprint); }

    /// \returns what was made or learnt since the last time, to be passed on to other nodes.
    CrashUpdate takeUpdate();
    /// \returns everything held, for a node that starts.
    CrashUpdate snapshot() const;

private:
    using ReportId = std::pair<NodeName, Revision>;

    void addReport(const CrashReport&, Now);
    void dropOldestReport();
    void addAcquittal(const CrashClearance&, Now);
    void acquitIfAnswered(Fingerprint, WallTime crashedAt, Now);
    bool isCleared(Fingerprint, WallTime crashedAt) const;
    void judge(Now);
    void quarantine(Fingerprint, Now);

    NodeName m_node;
    Revision m_revision;
    RecentFingerprints m_answered;
    std::map<ReportId, CrashReport> m_reports;
    std::unordered_map<Fingerprint, CrashClearance> m_acquittals;
    std::set<Fingerprint> m_suspects;
    std::unordered_map<Fingerprint, MonotonicTime> m_refusedUntil;
    CrashUpdate m_outgoing;
};

}
