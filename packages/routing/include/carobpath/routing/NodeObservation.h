#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Time.h"

#include <cstdint>

namespace carobpath::routing {

/// Reachability of a node, as observed by a call that was forwarded to it.
enum class NodeReachability : std::uint8_t {
    /// The node answered, with any answer.
    Answered,
    /// No connection could be made.
    Unreachable,
    /// The connection broke or became unresponsive after the request was sent.
    Unresponsive,
};

/// One passive observation of a node, by which the membership suspects unreachable nodes.
struct NodeObservation {
    NodeName node;
    NodeReachability reachability = NodeReachability::Answered;
    MonotonicTime at;
};

}
