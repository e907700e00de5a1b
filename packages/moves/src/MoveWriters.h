#pragma once

#include "carobpath/moves/MoveCommand.h"
#include "carobpath/moves/MoveId.h"

#include <string>
#include <vector>

namespace carobpath::moves {

/// \returns the rendezvous hash key by which all nodes rank nodes and upstreams for a move.
std::string rankKey(const MoveId&);

/// \returns the position of a node in the order of the move's writers; 0 writes first.
std::size_t writerRank(const MoveId&, const NodeName& self, const std::vector<NodeName>& nodes);

/// \returns the evidence of one call.
/// \param isTimed whether the latency of a successful call is counted
EvidenceCounts countsOf(CallResult, std::chrono::nanoseconds latency, bool isTimed);

}
