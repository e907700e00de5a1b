#pragma once

#include "carobpath/foundation/Identifier.h"

#include <optional>

namespace carobpath::moves {

/// How the calls of one service are split at this moment. Without a move all go to \c current.
struct TrafficSplit {
    /// Empty where every version but \c next serves.
    VersionName current;
    std::optional<VersionName> next;
    /// Part of the calls that go to \c next, from 0 to 1.
    double nextShare = 0;
    /// Upstream that takes all calls of \c next at this moment, to see it loaded; empty where all take their part.
    NodeName loadTestNode {};

    friend bool operator==(const TrafficSplit&, const TrafficSplit&) = default;
};

}
