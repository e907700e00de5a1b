#pragma once

#include "carobpath/moves/Comparison.h"
#include "carobpath/moves/EvidenceTable.h"
#include "carobpath/moves/MovePlan.h"
#include "carobpath/moves/RouteEvidence.h"

#include <array>
#include <map>
#include <optional>

namespace carobpath::moves {

/// Why a move is not at its next stage.
enum class WaitReason : std::uint8_t {
    None,
    /// Its start has not come.
    NotStarted,
    /// All is well; the next step has its time.
    PlannedTime,
    /// A route has too few calls on the new version in this stage.
    ThinEvidence,
    /// The new version refuses more calls than the serving one.
    Refusals,
    /// The new version fails or is slow more often than the serving one, not surely enough to take it back.
    Doubt,
    /// The new version got worse while the serving one had too few calls to compare with.
    Cautious,
    /// Decided; the log has no record of it yet.
    AwaitingRecord,
};

/// What the evidence says of a move at one moment.
struct MoveAssessment {
    std::uint32_t window = 0;
    std::uint32_t stage = 0;
    /// Window in which the stage was entered.
    std::uint32_t stageEnteredWindow = 0;
    bool isCautious = false;
    /// Part of the calls for the new version.
    double share = 0;
    WaitReason wait = WaitReason::None;
    /// Route that is waited for, where one is.
    RouteName waitRoute;
    /// Set where the evidence shows that the new version is bad. Never lost once acted on.
    std::optional<publication::MoveVerdict> regression;
    /// Set from the time on at which the move's end is due.
    std::optional<publication::MoveVerdict> due;
};

/// How a route stands in the present stage.
struct RouteProgress {
    std::uint64_t calls = 0;
    std::uint64_t callsNeeded = 0;
    WaitReason wait = WaitReason::None;
};

/// Judges one move. Its answers are pure functions of the time, the move and the merged evidence, so that every node
/// with the same evidence gives the same answer.
class MoveAssessor {
public:
    /// Probability of ever taking back a version that is no worse, over all routes.
    static constexpr double s_falseAlarm = 0.001;
    static constexpr std::size_t s_routesKept = 64;

    explicit MoveAssessor(const publication::MoveEntry&);

    const MovePlan& plan() const { return m_plan; }
    const std::map<RouteName, RouteEvidence>& routes() const { return m_routes; }
    /// Adds merged evidence.
    void add(const EvidenceGrowth&);
    MoveAssessment assess(WallTime) const;
    RouteProgress standing(const RouteEvidence&, const MoveAssessment&) const;
    /// \returns the value of \c logEvidence above which a version is taken back.
    double threshold() const;

private:
    struct Progress {
        std::uint32_t stage = 0;
        std::uint32_t entered = 0;
    };

    Progress progressAt(std::uint32_t window) const;
    /// \returns the progress at the start of a window, from that of the one before.
    Progress nextProgress(const Progress& before, std::uint32_t window) const;
    /// Calls of the new version that a route needs in the stage before the next.
    std::uint64_t callsNeeded(double callsPerWindow, std::uint32_t stage) const;
    RouteProgress standingOf(const RouteEvidence&, const Progress&, std::uint32_t endWindow) const;
    /// The first route that is in the way of the next stage.
    RouteProgress worstStanding(const Progress&, std::uint32_t endWindow, RouteName&) const;
    std::optional<publication::MoveVerdict> findBadness(std::uint32_t window) const;
    bool isCautious(std::uint32_t window) const;
    std::optional<publication::MoveVerdict> dueVerdict(const MoveAssessment&, WallTime) const;

    publication::MoveEntry m_entry;
    MovePlan m_plan;
    std::map<RouteName, RouteEvidence> m_routes;
    /// Progress at the start of each window, kept for the windows before which no evidence changed.
    mutable std::array<Progress, MovePlan::s_windows> m_progress {};
    mutable std::uint32_t m_progressKnown = 0;
};

}
