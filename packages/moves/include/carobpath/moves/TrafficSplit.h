#pragma once

#include "carobpath/foundation/Identifier.h"

#include <optional>
#include <vector>

namespace carobpath::moves {

/// The present split of one service's calls between two versions. Without a move, all calls go to \c current.
struct TrafficSplit {
    /// Empty if all versions except \c next and the rejected ones serve.
    VersionName current;
    std::optional<VersionName> next;
    /// Fraction of the calls that go to \c next, from 0 to 1.
    double nextShare = 0;
    /// Node of the upstream that takes all calls of \c next during a load test; empty at other times.
    NodeName loadTestNode {};
    /// Versions that get no calls although instances of them may live.
    std::vector<VersionName> rejected {};

    friend bool operator==(const TrafficSplit&, const TrafficSplit&) = default;
};

}
