#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/membership/NodeEntry.h"

#include <cstdint>
#include <optional>
#include <string>

namespace carobpath::membership {

/// Names one run of a backend server, from its start to its end.
struct BackendRun {
    /// Chosen by the backend server; it may start again under the same name. Empty where it gives none.
    std::string instance;
    /// When it started, by its own clock; nothing where it does not say.
    std::optional<WallTime> startedAt;

    friend bool operator==(const BackendRun&, const BackendRun&) = default;
};

/// What a backend server says of itself to the node beside it.
struct Announcement {
    Upstream upstream;
    /// Where it takes the node's requests.
    Endpoint backend;
    BackendRun run;
    /// Grows with each announcement of one run, so that one which arrives late is known; nothing where it is not counted.
    std::optional<std::uint64_t> sequence;

    friend bool operator==(const Announcement&, const Announcement&) = default;
};

}
