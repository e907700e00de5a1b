#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/membership/NodeEntry.h"

#include <cstdint>
#include <optional>
#include <string>

namespace carobpath::membership {

/// Identifies one run of a backend server, from its start to its end.
struct BackendRun {
    /// Chosen by the backend server, which may reuse the name after a restart. Empty if it reports none.
    std::string instance;
    /// Start time by the clock of the backend server; empty if it reports none.
    std::optional<WallTime> startedAt;

    friend bool operator==(const BackendRun&, const BackendRun&) = default;
};

/// An announcement of a backend server to the node on its instance.
struct Announcement {
    Upstream upstream;
    /// Address at which the backend server accepts requests from the node.
    Endpoint backend;
    BackendRun run;
    /// Increases with each announcement of a run, so that delayed ones are detected; empty if the run does not count them.
    std::optional<std::uint64_t> sequence;

    friend bool operator==(const Announcement&, const Announcement&) = default;
};

}
