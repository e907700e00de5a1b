#pragma once

#include <optional>

namespace carobpath::routing {

/// What a backend server says about itself in the header of one answer.
struct BackendReport {
    /// Calls per second that it takes from all nodes together; empty if it names no limit.
    std::optional<double> callsPerSecond;
    /// Whether it names a limit that is not a number from 0 up.
    bool isLimitUnreadable = false;
    /// Whether it is about to stop and takes no new calls.
    bool isLeaving = false;

    friend bool operator==(const BackendReport&, const BackendReport&) = default;
};

}
