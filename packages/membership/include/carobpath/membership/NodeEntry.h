#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Incarnation.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace carobpath::membership {

/// What a backend server said of its readiness, or what the node beside it knows better.
enum class UpstreamState : std::uint8_t {
    /// Started, not warm yet: takes a small number of calls.
    Cold,
    Ready,
    /// Leaving: gets no new work.
    Draining,
    /// The backend server does not answer the node beside it.
    Down,
};

/// A backend server as it announced itself to the node beside it.
struct Upstream {
    ServiceName service;
    VersionName version;
    /// Requests that it works on at a time.
    std::uint32_t slots = 0;
    /// Connections that it accepts at a time.
    std::uint32_t connections = 0;
    UpstreamState state = UpstreamState::Cold;
    /// Calls admitted and calls waiting at its node when the entry was made.
    std::uint32_t inFlight = 0;
    std::uint32_t waiting = 0;

    friend bool operator==(const Upstream&, const Upstream&) = default;
};

/// \returns whether calls are to go otherwise from now on: an upstream came, went, or changed its version or its state.
bool servesOtherwise(const std::optional<Upstream>& before, const std::optional<Upstream>& now);

/// The addresses at which a node listens.
struct NodeAddresses {
    /// HTTP, for callers.
    Endpoint callers;
    /// HTTP, for calls that other nodes forward.
    Endpoint calls;
    /// Cap'n Proto RPC, for the exchange of state.
    Endpoint peer;
    /// HTTP, for operators, metrics and the backend server's announcements.
    Endpoint admin;

    friend bool operator==(const NodeAddresses&, const NodeAddresses&) = default;
};

/// What a node spreads about itself. Only the node itself makes a new revision of its entry.
struct NodeEntry {
    NodeName name;
    RegionName region;
    FailureDomainName domain;
    Revision revision;
    NodeAddresses addresses;
    std::optional<Upstream> upstream;
    /// Set by a node that is stopping, so that others forget it without suspicion.
    bool leaving = false;

    friend bool operator==(const NodeEntry&, const NodeEntry&) = default;
};

/// What other nodes hold of a node.
enum class Liveness : std::uint8_t {
    Alive,
    /// One observer or more could not reach it; it still takes calls where nothing better is known.
    Suspect,
    Dead,
};

/// A node's entry together with what is held of its liveness.
struct KnownNode {
    NodeEntry entry;
    Liveness liveness = Liveness::Alive;
};

/// Every node known at one moment; immutable. Made anew when an entry changes.
struct MembershipView {
    std::vector<KnownNode> nodes;
};

/// \returns the text that stands in announcements and logs: "cold", "ready", "draining", "down".
std::string_view toString(UpstreamState);
std::optional<UpstreamState> upstreamStateFromString(std::string_view text);
/// \returns "alive", "suspect" or "dead".
std::string_view toString(Liveness);

}
