#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

/// The named objects that members publish. They refer to each other by name.
namespace carobpath::publication {

/// One service of a member; nodes answer for its hosts.
struct Service {
    ServiceName name;
    MemberName member;
    /// Version that serves from the service's creation. Later only a finished move changes the current version,
    /// so publishing an old file again moves no traffic.
    VersionName initialVersion;
    /// Host header values, without port, that belong to the service.
    std::vector<std::string> hosts;
    /// Connections that one backend server accepts from all its clients; 0 where each says so itself.
    std::uint32_t connections = 0;

    friend bool operator==(const Service&, const Service&) = default;
};

/// Whether the work of a call may be done twice.
enum class Repeatability : std::uint8_t {
    Repeatable,
    NotRepeatable,
};

/// Which kind of work a route carries, for the order of the admission queue.
enum class TrafficClass : std::uint8_t {
    Short,
    Download,
};

/// One of the services that a route's calls are spread over, in proportion to the weights.
struct Destination {
    ServiceName service;
    std::uint32_t weight = 1;

    friend bool operator==(const Destination&, const Destination&) = default;
};

/// Sends calls whose host belongs to the service and whose path starts with the prefix to the service.
/// The longest prefix wins.
struct Route {
    RouteName name;
    MemberName member;
    ServiceName service;
    std::string pathPrefix;
    /// Methods that the route takes; empty for all.
    std::vector<std::string> methods;
    Repeatability repeatability = Repeatability::NotRepeatable;
    TrafficClass trafficClass = TrafficClass::Short;
    /// Time that a call has from its arrival at the first node.
    std::chrono::milliseconds timeout { 5000 };
    /// Host header values of the route's own, without port; empty for those of its service.
    std::vector<std::string> hosts;
    /// Services that share the calls; empty where all go to \c service.
    std::vector<Destination> destinations;
    /// Backend servers that one call may be sent to; 0 for the node's own bound.
    std::uint32_t maxAttempts = 0;
    /// Time within which an answer is of full use to the caller; 0 where none was named.
    std::chrono::milliseconds objective { 0 };
    /// Rank among the routes of a service; 0 goes first.
    std::uint32_t priority = 0;

    friend bool operator==(const Route&, const Route&) = default;
};

/// A backend server version that instances may announce.
struct Version {
    VersionName name;
    MemberName member;
    ServiceName service;

    friend bool operator==(const Version&, const Version&) = default;
};

/// What becomes of a move whose evidence is too thin at its deadline.
enum class ThinEvidencePolicy : std::uint8_t {
    /// Done unless something speaks against the new version.
    Finish,
    /// Taken back unless enough speaks for the new version.
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
