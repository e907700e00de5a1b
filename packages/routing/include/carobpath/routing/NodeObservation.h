#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Time.h"

#include <cstdint>

namespace carobpath::routing {

/// What a forwarded call showed of the node that it was sent to.
enum class NodeReachability : std::uint8_t {
    /// The node answered, with whatever answer.
    Answered,
    /// No connection could be made.
    Unreachable,
    /// The connection broke or fell silent after the request was sent.
    Unresponsive,
};

/// One passive observation of a node, for the membership's suspicion.
struct NodeObservation {
    NodeName node;
    NodeReachability reachability = NodeReachability::Answered;
    MonotonicTime at;
};

}
