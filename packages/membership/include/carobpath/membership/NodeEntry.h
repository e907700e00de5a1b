#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Incarnation.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace carobpath::membership {

/// Readiness of a backend server, as announced or as determined by the node on its instance.
enum class UpstreamState : std::uint8_t {
    /// Started but not warm yet: receives a small number of calls.
    Cold,
    Ready,
    /// Leaving: receives no new calls.
    Draining,
    /// The backend server does not respond to the node on its instance.
    Down,
};

/// A backend server as announced to the node on its instance.
struct Upstream {
    ServiceName service;
    VersionName version;
    /// Number of requests that the backend server processes concurrently.
    std::uint32_t slots = 0;
    /// Number of connections that the backend server accepts concurrently.
    std::uint32_t connections = 0;
    UpstreamState state = UpstreamState::Cold;
    /// Calls per second that the backend server takes from all nodes together; empty if it names no limit.
    std::optional<double> callsPerSecond;
    /// Number of admitted and waiting calls at its node when the entry was created.
    std::uint32_t inFlight = 0;
    std::uint32_t waiting = 0;

    friend bool operator==(const Upstream&, const Upstream&) = default;
};

/// \returns whether a limit on the rate was named, lifted, or changed by a part that matters to the choice of an upstream.
bool rateChanged(const std::optional<double>& before, const std::optional<double>& now);

/// \returns whether the change affects routing: an upstream was added, removed, or changed its service, version, state or
/// rate.
bool routingChanged(const std::optional<Upstream>& before, const std::optional<Upstream>& now);

/// The addresses at which a node listens.
struct NodeAddresses {
    /// HTTP, for callers.
    Endpoint callers;
    /// HTTP, for calls that other nodes forward.
    Endpoint calls;
    /// Cap'n Proto RPC, for gossip between nodes.
    Endpoint peer;
    /// HTTP, for operators, metrics and the backend server's announcements.
    Endpoint admin;

    friend bool operator==(const NodeAddresses&, const NodeAddresses&) = default;
};

/// The information that a node publishes about itself. Only the node itself creates new revisions of its entry.
struct NodeEntry {
    NodeName name;
    RegionName region;
    FailureDomainName domain;
    Revision revision;
    NodeAddresses addresses;
    std::optional<Upstream> upstream;
    /// Set by a node that is stopping, so that others remove it without suspecting it first.
    bool leaving = false;

    friend bool operator==(const NodeEntry&, const NodeEntry&) = default;
};

/// Liveness of a node as seen by its peers.
enum class Liveness : std::uint8_t {
    Alive,
    /// At least one observer could not reach the node. It still receives calls if there is no better candidate.
    Suspect,
    Dead,
};

/// A node's entry together with its assessed liveness.
struct KnownNode {
    NodeEntry entry;
    Liveness liveness = Liveness::Alive;
};

/// Immutable snapshot of all known nodes. Replaced when an entry changes.
struct MembershipView {
    std::vector<KnownNode> nodes;
};

/// \returns the text used in announcements and logs: "cold", "ready", "draining", "down".
std::string_view toString(UpstreamState);
std::optional<UpstreamState> upstreamStateFromString(std::string_view text);
/// \returns "alive", "suspect" or "dead".
std::string_view toString(Liveness);

}
