#pragma once

/// \file
/// Entries about crashed backend servers that nodes send each other.

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Incarnation.h"
#include "carobpath/foundation/Time.h"

#include <cstdint>
#include <vector>

namespace carobpath::routing {

/// Hash that identifies a request that is sent again.
using Fingerprint = std::uint64_t;

/// A backend server crashed; any of the requests that it was processing may be the cause.
struct CrashReport {
    /// Node next to the crashed server, and the revision that it gave the report.
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
    /// Time of the answer.
    WallTime at;

    friend bool operator==(const CrashClearance&, const CrashClearance&) = default;
};

/// Entries in one gossip message. They may arrive in any order and any number of times.
struct CrashUpdate {
    std::vector<CrashReport> reports;
    std::vector<CrashClearance> clearances;

    bool empty() const { return reports.empty() && clearances.empty(); }
};

}
