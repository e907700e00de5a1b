#pragma once

#include "carobpath/moves/MoveCommand.h"
#include "carobpath/moves/MoveId.h"

#include <string>
#include <vector>

namespace carobpath::moves {

/// \returns the text by which nodes rank themselves and upstreams for a move, all alike.
std::string rankKey(const MoveId&);

/// \returns the place of a node in the order of the move's writers; 0 writes first.
std::size_t writerRank(const MoveId&, const NodeName& self, const std::vector<NodeName>& nodes);

/// \returns the evidence of one call.
/// \param isTimed whether the latency of a call that succeeded is counted.
EvidenceCounts countsOf(CallResult, std::chrono::nanoseconds latency, bool isTimed);

}
