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

/// What a move does next.
enum class NextStep : std::uint8_t {
    None,
    Start,
    Raise,
    Verdict,
};

/// One version on one route, over the whole move.
struct VersionFigures {
    std::uint64_t calls = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    double errorRate = 0;
    /// Upper bounds of the latency classes that hold the median and the 99th percentile; nothing without calls.
    std::optional<std::chrono::microseconds> latencyP50;
    std::optional<std::chrono::microseconds> latencyP99;
};

struct RouteReport {
    RouteName route;
    VersionFigures from;
    VersionFigures to;
    /// Calls of the new version in this stage, and how many it needs for the next.
    RouteProgress standing;
    /// Logarithm of the evidence against the new version; it is taken back at \c MoveReport::bound.
    double failedEvidence = 0;
    double slowEvidence = 0;
};

/// What an operator is told of a move. It agrees with what the node's traffic does.
struct MoveReport {
    MoveId id;
    ServiceName service;
    VersionName from;
    VersionName to;
    WallTime startAt;
    WallTime deadline;
    MoveState state = MoveState::InProgress;
    /// True where the log holds the verdict; false while a node acts on a finding that the log has not taken yet.
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
