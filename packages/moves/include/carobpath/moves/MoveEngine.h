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

/// Decides on every move in force, on one node: keeps and merges evidence, splits calls, finds badness and has
/// verdicts appended.
class MoveEngine {
public:
    /// A split older than this is not used: the node was paused, and the new version may have been taken back since.
    static constexpr std::chrono::milliseconds s_longestTickGap { 2000 };
    /// Time between assessments where no evidence came.
    static constexpr std::chrono::milliseconds s_assessmentInterval { 500 };
    /// Least time between assessments where no call failed.
    static constexpr std::chrono::milliseconds s_quietInterval { 250 };
    /// Time after the deadline that a verdict of thin evidence waits, for nodes with more evidence to come first.
    static constexpr std::chrono::milliseconds s_thinEvidenceGrace { 5000 };
    static constexpr std::size_t s_reportsKept = 128;

    MoveEngine(NodeName self, Incarnation, std::mt19937_64 random);

    /// Nodes that may write verdicts: those held alive. Without any, this node counts as the first.
    void onNodes(std::vector<NodeName>);
    /// Takes the set in force: moves begin, and end where they have a verdict or are gone.
    void onConfiguration(const publication::ConfigurationPointer&, Now);
    /// Counts a call that this node admitted. Calls of services without a move are left out.
    void observe(const ServiceName&, const RouteName&, const VersionName&, CallResult, std::chrono::nanoseconds latency, Now);
    /// Takes what a peer spread.
    void merge(const EvidenceUpdate&, Now);
    /// \returns what changed after the cursor, and moves the cursor; call again while it returns entries.
    EvidenceUpdate changedSince(EvidenceCursor&) const;
    /// Called ten times a second.
    std::vector<MoveCommand> tick(Now);
    /// \returns how the calls of the service are split now.
    TrafficSplit trafficSplit(const ServiceName&, Now) const;
    /// \returns nothing for a move that is not in the set in force.
    std::optional<MoveReport> report(const MoveName&, Now) const;

private:
    struct ActiveMove {
        ActiveMove(const publication::MoveEntry&, std::size_t rank);

        publication::MoveEntry entry;
        MoveAssessor judge;
        MoveAssessment assessment;
        VerdictWriter writer;
        double shownShare = 0;
        bool isChanged = true;
        /// Calls failed since the last assessment.
        bool isUrgent = false;
        MonotonicTime assessedAt = MonotonicTime::min();
        /// When this node first admitted a call to the new version.
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
    void keepReport(const MoveId&, const ActiveMove&, Now);

    NodeName m_self;
    std::mt19937_64 m_random;
    std::vector<NodeName> m_nodes;
    publication::ConfigurationPointer m_configuration;
    EvidenceTable m_book;
    std::map<MoveId, ActiveMove> m_moves;
    /// The newest move of each service that has one.
    std::map<ServiceName, MoveId> m_byService;
    /// Last reports of moves that ended, with the figures that they ended on.
    std::map<MoveId, MoveReport> m_reports;
    MonotonicTime m_tickedAt = MonotonicTime::min();
};

}
