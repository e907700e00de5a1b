#pragma once

#include "moves/LogModel.h"
#include "moves/Scenario.h"

#include <cstdint>
#include <optional>

namespace carobpath::bench {

/// How one move went.
struct RunResult {
    bool isGood = true;
    bool isWithdrawn = false;
    std::optional<publication::MoveOutcome> outcome;
    publication::MoveReason reason = publication::MoveReason::None;
    bool isInTime = false;
    std::uint64_t calls = 0;
    std::uint64_t newCalls = 0;
    std::uint64_t harmed = 0;
    /// From the moment at which the counts of all nodes, without any delay, show the badness, to the last call that
    /// went to the new version.
    std::optional<milliseconds> stopDelay;
    /// The same from the moment at which one node's merged evidence shows the badness.
    std::optional<milliseconds> foundDelay;
    /// Largest share of the new version while it was bad, mean over the nodes.
    double largestBadShare = 0;
    std::uint64_t controlBytes = 0;
    std::uint64_t appends = 0;
    milliseconds length {};
};

enum class PolicyKind : std::uint8_t {
    Ours,
    FixedStep,
};

/// Plays one scenario under one policy, with virtual time.
RunResult runMove(const Scenario&, PolicyKind, std::uint64_t seed);

}
