#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Incarnation.h"
#include "carobpath/foundation/Time.h"

#include <cstdint>
#include <vector>

/// What nodes tell each other of crashed backend servers.
namespace carobpath::routing {

/// Hash that tells a request which is sent again.
using Fingerprint = std::uint64_t;

/// A backend server crashed; any of the requests that it was working on may be the cause.
struct CrashReport {
    /// Node beside the crashed server, and its number of the report.
    NodeName node;
    Revision revision;
    WallTime at;
    std::vector<Fingerprint> suspects;

    friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// A suspected request was answered by a backend server that did not crash.
struct CrashClearance {
    NodeName node;
    Fingerprint fingerprint = 0;
    /// Moment of the answer.
    WallTime at;

    friend bool operator==(const CrashClearance&, const CrashClearance&) = default;
};

/// Entries in one message of the exchange. They may come in any order and any number of times.
struct CrashUpdate {
    std::vector<CrashReport> reports;
    std::vector<CrashClearance> clearances;

    bool empty() const { return reports.empty() && clearances.empty(); }
};

}
