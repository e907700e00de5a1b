#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/moves/MoveAssessor.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobpath::moves {

enum class MoveState : std::uint8_t {
    InProgress,
    Done,
    TakenBack,
    Withdrawn,
};

/// The next step of a move.
enum class NextStep : std::uint8_t {
    None,
    Start,
    Raise,
    Verdict,
};

/// Figures of one version on one route over the whole move.
struct VersionFigures {
    std::uint64_t calls = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    double errorRate = 0;
    /// Upper bounds of the latency classes that contain the median and the 99th percentile; empty without calls.
    std::optional<std::chrono::microseconds> latencyP50;
    std::optional<std::chrono::microseconds> latencyP99;
};

struct RouteReport {
    RouteName route;
    VersionFigures from;
    VersionFigures to;
    /// Calls of the new version in this stage, and the number required for the next.
    RouteProgress progress;
    /// Logarithm of the evidence against the new version, which is taken back when this reaches \c MoveReport::bound.
    double failedEvidence = 0;
    double slowEvidence = 0;
};

/// Report on a move for operators. It is consistent with the node's present traffic split.
struct MoveReport {
    MoveId id;
    ServiceName service;
    VersionName from;
    VersionName to;
    WallTime startAt;
    WallTime deadline;
    MoveState state = MoveState::InProgress;
    /// Whether the log contains the verdict. False while a node acts on a finding that is not in the log yet.
    bool isRecorded = false;
    std::optional<publication::MoveVerdict> verdict;
    double share = 0;
    std::uint32_t stage = 0;
    std::uint32_t stages = 0;
    WaitReason wait = WaitReason::None;
    RouteName waitRoute;
    NextStep nextStep = NextStep::None;
    std::optional<WallTime> nextStepAt;
    double bound = 0;
    std::vector<RouteReport> routes;
};

std::string_view toString(MoveState);
std::string_view toString(NextStep);
std::string_view toString(WaitReason);

/// \returns the report as one JSON object.
std::string toJson(const MoveReport&);

/// \returns the figures of a version's counts.
VersionFigures figuresOf(const EvidenceCounts&);

}
