#pragma once

#include "carobpath/foundation/Digest.h"
#include "carobpath/publication/Objects.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace carobpath::publication {

/// Position of a record in a stream of the platform's log, counted from 0.
using Offset = std::uint64_t;

/// Result of a move.
enum class MoveOutcome : std::uint8_t {
    Done,
    TakenBack,
    /// Deleted by its member, or replaced by a newer move of the same service, before it ended.
    Withdrawn,
};

/// Reason why a move was taken back.
enum class MoveReason : std::uint8_t {
    None,
    ErrorRate,
    Latency,
    ThinEvidence,
    NoUpstream,
    Replaced,
};

/// The result of a move. Only the first verdict in log order takes effect.
struct MoveVerdict {
    MoveOutcome outcome = MoveOutcome::Done;
    MoveReason reason = MoveReason::None;
    /// Route on which the regression was observed; empty if the verdict does not concern a single route.
    RouteName route;
    /// One line for operators with the figures that led to the verdict.
    std::string evidence;

    friend bool operator==(const MoveVerdict&, const MoveVerdict&) = default;
};

/// The current state of a service: the object that its member published, and the version that serves its calls.
struct ServiceEntry {
    Service service;
    VersionName currentVersion;
    /// Offset of the record that last changed the entry.
    Offset changedAt = 0;

    friend bool operator==(const ServiceEntry&, const ServiceEntry&) = default;
};

struct RouteEntry {
    Route route;
    Offset changedAt = 0;

    friend bool operator==(const RouteEntry&, const RouteEntry&) = default;
};

struct VersionEntry {
    Version version;
    Offset changedAt = 0;

    friend bool operator==(const VersionEntry&, const VersionEntry&) = default;
};

/// The current state of a move. \c from is the version that served when the move was accepted.
struct MoveEntry {
    Move move;
    VersionName from;
    /// Offset of the record that published the move; distinguishes the move from an earlier one of the same name.
    Offset publishedAt = 0;
    Offset changedAt = 0;
    std::optional<MoveVerdict> verdict;

    friend bool operator==(const MoveEntry&, const MoveEntry&) = default;
};

struct WorkspaceEntry {
    Workspace workspace;
    Offset changedAt = 0;

    friend bool operator==(const WorkspaceEntry&, const WorkspaceEntry&) = default;
};

/// All active objects. The maps are ordered, so that the canonical encoding and the digest are the same on every node.
struct ConfigurationSet {
    std::map<ServiceName, ServiceEntry> services;
    std::map<RouteName, RouteEntry> routes;
    std::map<VersionName, VersionEntry> versions;
    std::map<MoveName, MoveEntry> moves;
    /// Empty if callers need no API key.
    std::map<WorkspaceName, WorkspaceEntry> workspaces;

    friend bool operator==(const ConfigurationSet&, const ConfigurationSet&) = default;
};

/// Identifies one version of the full set by the offset of the record that created it and the digest of the set.
struct ConfigurationStamp {
    Offset offset = 0;
    Digest digest;

    friend auto operator<=>(const ConfigurationStamp&, const ConfigurationStamp&) = default;
};

/// One version of the full set. It is immutable and is replaced by swapping one pointer.
struct ConfigurationVersion {
    ConfigurationStamp stamp;
    ConfigurationSet set;
};

using ConfigurationPointer = std::shared_ptr<const ConfigurationVersion>;

}
