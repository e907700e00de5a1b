#pragma once

/// \file
/// The named objects that members publish. Objects refer to each other by name.

#include "carobpath/foundation/Digest.h"
#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carobpath::publication {

/// One service of a member; nodes accept calls for its hosts.
struct Service {
    ServiceName name;
    MemberName member;
    /// Version that serves when the service is created. Later, only a completed move changes the current version,
    /// so publishing an old file again moves no traffic.
    VersionName initialVersion;
    /// Host header values, without port, that belong to the service.
    std::vector<std::string> hosts;
    /// Connections that one backend server accepts from all its clients; 0 if each backend server reports its own limit.
    std::uint32_t connections = 0;

    friend bool operator==(const Service&, const Service&) = default;
};

/// Whether a call may be executed more than once.
enum class Repeatability : std::uint8_t {
    Repeatable,
    NotRepeatable,
};

/// Kind of traffic on a route; determines the order in the admission queue.
enum class TrafficClass : std::uint8_t {
    Short,
    Download,
};

/// One of the services among which a route's calls are distributed in proportion to the weights.
struct Destination {
    ServiceName service;
    std::uint32_t weight = 1;

    friend bool operator==(const Destination&, const Destination&) = default;
};

/// Routes calls to the service if their host belongs to the service and their path starts with the prefix.
/// The route with the longest matching prefix is used.
struct Route {
    RouteName name;
    MemberName member;
    ServiceName service;
    std::string pathPrefix;
    /// Methods that the route matches; empty for all.
    std::vector<std::string> methods;
    Repeatability repeatability = Repeatability::NotRepeatable;
    TrafficClass trafficClass = TrafficClass::Short;
    /// Maximum duration of a call, measured from its arrival at the first node.
    std::chrono::milliseconds timeout { 5000 };
    /// Host header values, without port, that replace those of the service; empty to use those of the service.
    std::vector<std::string> hosts;
    /// Services among which the calls are distributed; empty if all calls go to \c service.
    std::vector<Destination> destinations;
    /// Maximum number of backend servers that one call may be sent to; 0 for the node's default limit.
    std::uint32_t maxAttempts = 0;
    /// Time within which an answer is of full value to the caller; 0 if not specified.
    std::chrono::milliseconds objective { 0 };
    /// Rank among the routes of a service; 0 is the highest.
    std::uint32_t priority = 0;
    /// Whether calls without an API key are accepted although the configuration has workspaces.
    bool allowsAnonymous = false;

    friend bool operator==(const Route&, const Route&) = default;
};

/// Rate limit of a workspace, held by the sum over all nodes: a token bucket.
struct RateLimit {
    /// Thousandths of a call per second, so that the canonical encoding needs no floating-point number.
    std::uint64_t milliCallsPerSecond = 0;
    /// Calls that may come at once after a quiet time.
    std::uint64_t burst = 0;

    friend bool operator==(const RateLimit&, const RateLimit&) = default;
};

/// A customer whose callers identify themselves by API keys.
struct Workspace {
    WorkspaceName name;
    /// Digests of its API keys, in ascending order. The keys themselves are not kept.
    std::vector<Digest> keys;
    /// Empty if its calls are not limited.
    std::optional<RateLimit> limit;
    /// Rank of its calls before that of their route; 0 is the highest.
    std::uint32_t priority = 0;

    friend bool operator==(const Workspace&, const Workspace&) = default;
};

/// A backend server version that instances may announce.
struct Version {
    VersionName name;
    MemberName member;
    ServiceName service;

    friend bool operator==(const Version&, const Version&) = default;
};

/// Treatment of a move with insufficient evidence at its deadline.
enum class ThinEvidencePolicy : std::uint8_t {
    /// The move is done unless there is evidence against the new version.
    Finish,
    /// The move is taken back unless there is sufficient evidence for the new version.
    TakeBack,
};

/// Moves the traffic of a service to another version by a deadline.
struct Move {
    MoveName name;
    MemberName member;
    ServiceName service;
    VersionName to;
    WallTime startAt;
    WallTime deadline;
    ThinEvidencePolicy onThinEvidence = ThinEvidencePolicy::TakeBack;

    friend bool operator==(const Move&, const Move&) = default;
};

}
