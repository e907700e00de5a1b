#pragma once

#include "carobpath/moves/Comparison.h"
#include "carobpath/moves/EvidenceTable.h"
#include "carobpath/moves/MovePlan.h"
#include "carobpath/moves/RouteEvidence.h"

#include <array>
#include <map>
#include <optional>

namespace carobpath::moves {

/// Reason why a move has not entered its next stage.
enum class WaitReason : std::uint8_t {
    None,
    /// The start time has not been reached.
    NotStarted,
    /// All conditions are met, and the planned time of the next step has not been reached.
    PlannedTime,
    /// A route has too few calls to the new version in this stage.
    ThinEvidence,
    /// The new version refuses more calls than the serving one.
    Refusals,
    /// The new version fails or is slow more often than the serving one, but not significantly enough to take it back.
    Doubt,
    /// The new version got worse while the serving one had too few calls for a comparison.
    Cautious,
    /// The move is decided, but the log has no record of the verdict yet.
    AwaitingRecord,
};

/// Result of the assessment of a move at one point in time.
struct MoveAssessment {
    std::uint32_t window = 0;
    std::uint32_t stage = 0;
    /// Window in which the stage was entered.
    std::uint32_t stageEnteredWindow = 0;
    bool isCautious = false;
    /// Fraction of the calls that the new version gets.
    double share = 0;
    WaitReason wait = WaitReason::None;
    /// Route that delays the next stage; empty if there is none.
    RouteName waitRoute;
    /// Set while the evidence shows a regression of the new version. A regression that was acted on is kept as a
    /// \c TakeBackNotice, not here.
    std::optional<publication::MoveVerdict> regression;
    /// Set once the verdict of the move is due.
    std::optional<publication::MoveVerdict> due;
};

/// Progress of a route in the present stage.
struct RouteProgress {
    std::uint64_t calls = 0;
    std::uint64_t callsNeeded = 0;
    WaitReason wait = WaitReason::None;
};

/// Assesses one move. The results are pure functions of the time, the move and the merged evidence, so that all nodes
/// with the same evidence reach the same result.
class MoveAssessor {
public:
    /// Upper bound of the probability that \c logEvidence ever reaches the threshold for a version that is not worse, over
    /// all routes and kinds of regression. It does not cover the other reasons to take a version back.
    static constexpr double s_falsePositiveRate = 0.001;
    /// Maximum number of routes that are compared.
    static constexpr std::size_t s_maxRoutes = 64;

    explicit MoveAssessor(const publication::MoveEntry&);

    const MovePlan& plan() const { return m_plan; }
    const std::map<RouteName, RouteEvidence>& routes() const { return m_routes; }
    /// Adds merged evidence.
    void add(const EvidenceGrowth&);
    MoveAssessment assess(WallTime) const;
    RouteProgress routeProgress(const RouteEvidence&, const MoveAssessment&) const;
    /// \returns the value of \c logEvidence from which a version is taken back.
    double threshold() const;

private:
    struct StageProgress {
        std::uint32_t stage = 0;
        std::uint32_t entered = 0;
    };

    StageProgress progressAt(std::uint32_t window) const;
    /// \returns the progress at the start of a window, given that of the previous window.
    StageProgress nextProgress(const StageProgress& before, std::uint32_t window) const;
    /// \returns the number of calls to the new version that a route needs in the stage before the next one may begin.
    std::uint64_t callsNeeded(double callsPerWindow, std::uint32_t stage) const;
    RouteProgress routeProgressOf(const RouteEvidence&, const StageProgress&, std::uint32_t endWindow) const;
    /// \returns the progress of the route with the most severe wait reason, and sets the route's name.
    RouteProgress leastReadyRoute(const StageProgress&, std::uint32_t endWindow, RouteName&) const;
    std::optional<publication::MoveVerdict> findRegression(std::uint32_t window) const;
    bool isCautious(std::uint32_t window) const;
    std::optional<publication::MoveVerdict> dueVerdict(const MoveAssessment&, WallTime) const;

    publication::MoveEntry m_entry;
    MovePlan m_plan;
    std::map<RouteName, RouteEvidence> m_routes;
    /// Progress at the start of each window, cached up to \c m_lastValidProgress, the last window before which no evidence
    /// changed.
    mutable std::array<StageProgress, MovePlan::s_windows> m_progress {};
    mutable std::uint32_t m_lastValidProgress = 0;
};

}
