#pragma once

#include "carobpath/foundation/Digest.h"
#include "carobpath/publication/Objects.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace carobpath::publication {

/// Place of a record in a stream of the platform's log; the first is 0.
using Offset = std::uint64_t;

/// How a move ended.
enum class MoveOutcome : std::uint8_t {
    Done,
    TakenBack,
    /// Deleted by its member, or replaced by a newer move of the same service, before it ended.
    Withdrawn,
};

/// Why a move was taken back.
enum class MoveReason : std::uint8_t {
    None,
    ErrorRate,
    Latency,
    ThinEvidence,
    NoUpstream,
    Replaced,
};

/// The terminal record of a move. The first in log order wins.
struct MoveVerdict {
    MoveOutcome outcome = MoveOutcome::Done;
    MoveReason reason = MoveReason::None;
    /// Route that showed the badness; empty where the verdict is not about one route.
    RouteName route;
    /// One line of figures behind the verdict, for operators.
    std::string evidence;

    friend bool operator==(const MoveVerdict&, const MoveVerdict&) = default;
};

/// A service as it stands: what its member published and the version that serves now.
struct ServiceEntry {
    Service service;
    VersionName currentVersion;
    /// Offset of the record that changed the entry last.
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

/// A move as it stands. \c from is the version that served when the move was accepted.
struct MoveEntry {
    Move move;
    VersionName from;
    /// Offset of the record that published the move; tells a move from an earlier one of the same name.
    Offset publishedAt = 0;
    Offset changedAt = 0;
    std::optional<MoveVerdict> verdict;

    friend bool operator==(const MoveEntry&, const MoveEntry&) = default;
};

/// All objects in force. Ordered maps, so that its canonical encoding and digest are the same everywhere.
struct ConfigurationSet {
    std::map<ServiceName, ServiceEntry> services;
    std::map<RouteName, RouteEntry> routes;
    std::map<VersionName, VersionEntry> versions;
    std::map<MoveName, MoveEntry> moves;

    friend bool operator==(const ConfigurationSet&, const ConfigurationSet&) = default;
};

/// Names one version of the whole set: the offset of the record that made it, and the digest of the set.
struct ConfigurationStamp {
    Offset offset = 0;
    Digest digest;

    friend auto operator<=>(const ConfigurationStamp&, const ConfigurationStamp&) = default;
};

/// One version of the whole set; immutable, swapped in by one pointer.
struct ConfigurationVersion {
    ConfigurationStamp stamp;
    ConfigurationSet set;
};

using ConfigurationPointer = std::shared_ptr<const ConfigurationVersion>;

}
