#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/moves/EvidenceTable.h"
#include "carobpath/moves/MoveAssessor.h"
#include "carobpath/moves/MoveCommand.h"
#include "carobpath/moves/MoveReport.h"
#include "carobpath/moves/TrafficSplit.h"
#include "carobpath/moves/VerdictWriter.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace carobpath::moves {

/// Runs all active moves on one node: stores and merges evidence, splits calls, detects regressions and requests that
/// verdicts are appended to the log.
class MoveEngine {
public:
    /// A split older than this is not used, since the new version may have been taken back while this node was paused.
    static constexpr std::chrono::milliseconds s_maxTickGap { 2000 };
    /// Time between assessments while no evidence arrives.
    static constexpr std::chrono::milliseconds s_idleAssessmentInterval { 500 };
    /// Minimum time between assessments while no call failed.
    static constexpr std::chrono::milliseconds s_minAssessmentInterval { 250 };
    /// Delay after the deadline before a version is taken back for insufficient evidence or for doubt, so that nodes with more
    /// evidence append first.
    static constexpr std::chrono::milliseconds s_thinEvidenceGrace { 5000 };
    static constexpr std::size_t s_maxReports = 128;

    MoveEngine(NodeName self, Incarnation, std::mt19937_64 random);

    /// Sets the live nodes, which may all write verdicts. If there are none, this node has rank 0.
    void onNodes(std::vector<NodeName>);
    /// Applies the active configuration: starts new moves, and ends moves that have a verdict or were removed.
    void onConfiguration(const publication::ConfigurationPointer&, Now);
    /// Counts a call that this node admitted. Calls to services without a move are ignored.
    void observe(const ServiceName&, const RouteName&, const VersionName&, CallResult, std::chrono::nanoseconds latency, Now);
    /// Merges evidence received from a peer.
    void merge(const EvidenceUpdate&, Now);
    /// \returns the changes after the cursor, and advances the cursor; call again while it returns entries.
    EvidenceUpdate changedSince(EvidenceCursor&) const;
    /// Called ten times a second.
    std::vector<MoveCommand> tick(Now);
    /// \returns the present traffic split of the service.
    TrafficSplit trafficSplit(const ServiceName&, Now) const;
    /// \returns nothing for a move that is not in the active configuration.
    std::optional<MoveReport> report(const MoveName&, Now) const;

private:
    struct ActiveMove {
        ActiveMove(const publication::MoveEntry&, std::size_t rank);

        publication::MoveEntry entry;
        MoveAssessor assessor;
        MoveAssessment assessment;
        VerdictWriter writer;
        double reportedShare = 0;
        bool isChanged = true;
        /// Whether calls failed since the last assessment.
        bool isUrgent = false;
        MonotonicTime assessedAt = MonotonicTime::min();
        /// Time at which this node first admitted a call to the new version.
        std::optional<MonotonicTime> firstCallAt;
    };

    ActiveMove* activeMoveOf(const ServiceName&);
    const ActiveMove* activeMoveOf(const ServiceName&) const;
    void begin(const MoveId&);
    void addGrowth(const std::vector<EvidenceGrowth>&);
    void tickMove(const MoveId&, ActiveMove&, Now, std::vector<MoveCommand>&);
    void takeBack(const MoveId&, ActiveMove&, std::vector<MoveCommand>&);
    std::optional<publication::MoveVerdict> verdictOf(const MoveId&, const ActiveMove&, Now) const;
    MoveReport reportOf(const MoveId&, const ActiveMove&, Now) const;
    void storeReport(const MoveId&, const ActiveMove&, Now);

    NodeName m_self;
    std::mt19937_64 m_random;
    std::vector<NodeName> m_nodes;
    publication::ConfigurationPointer m_configuration;
    EvidenceTable m_evidence;
    std::map<MoveId, ActiveMove> m_moves;
    /// The newest move of each service that has one.
    std::map<ServiceName, MoveId> m_byService;
    /// The final reports of moves that ended.
    std::map<MoveId, MoveReport> m_reports;
    MonotonicTime m_tickedAt = MonotonicTime::min();
};

}
