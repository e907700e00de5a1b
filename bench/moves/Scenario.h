#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/publication/Objects.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

/// What one run of the experiment plays: a service, a version that is good or bad, and faults around it.
namespace carobpath::bench {

using std::chrono::milliseconds;

/// Calls of one route, over the whole service.
struct RouteProfile {
    RouteName name;
    double callsPerSecond = 0;
    milliseconds medianLatency {};
    double errorRate = 0;
};

struct ServiceProfile {
    ServiceName name;
    std::uint32_t upstreams = 0;
    std::vector<RouteProfile> routes;
};

struct MemberProfile {
    MemberName name;
    publication::ThinEvidencePolicy onThinEvidence = publication::ThinEvidencePolicy::TakeBack;
    std::vector<ServiceProfile> services;
};

/// Times are since the start of the move.
struct Interval {
    milliseconds from {};
    milliseconds to {};

    bool contains(milliseconds t) const { return t >= from && t < to; }
};

/// How the new version is worse than the serving one; by default it is not.
struct BadnessModel {
    double failRate = 0;
    double slowdown = 1;
    milliseconds onset {};
    /// Index of the only route that is bad.
    std::optional<std::size_t> route;
    /// Index of the only upstream that is bad.
    std::optional<std::size_t> upstream;
    /// Part of the service's calls above which the version is bad.
    double loadThreshold = 0;
};

/// Trouble that hurts both versions: overload, or a dependency that is down.
struct SharedTrouble {
    Interval when;
    double failRate = 0;
    double slowdown = 1;
};

struct ColdStart {
    milliseconds length {};
    double slowdown = 1;
};

struct NodeFault {
    std::size_t node = 0;
    Interval when;
    /// Killed nodes lose their state; cut ones only exchange nothing.
    bool isKilled = false;
};

struct Scenario {
    ServiceProfile service;
    publication::ThinEvidencePolicy onThinEvidence = publication::ThinEvidencePolicy::TakeBack;
    milliseconds length {};
    bool isGood = true;
    BadnessModel badness;
    std::optional<SharedTrouble> sharedTrouble;
    ColdStart coldStart;
    std::optional<Interval> logOutage;
    std::vector<NodeFault> nodeFaults;
    std::optional<milliseconds> withdrawnAt;
    /// Length for which an earlier move of the same service ran before this one.
    milliseconds earlierMove {};
    /// How long both moves stand in the set without a verdict.
    milliseconds bothInForce {};
};

}
