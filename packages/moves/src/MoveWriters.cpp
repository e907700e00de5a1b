#include "MoveWriters.h"

#include "carobpath/foundation/RendezvousHash.h"

#include <algorithm>

namespace carobpath::moves {

std::string rankKey(const MoveId& move)
{
    return move.name.value() + '@' + std::to_string(move.publishedAt);
}

std::size_t writerRank(const MoveId& move, const NodeName& self, const std::vector<NodeName>& nodes)
{
    const auto key = rankKey(move);
    const auto ownScore = rendezvousScore(key, self.value());
    return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [&](const NodeName& it) {
        return it != self && rendezvousScore(key, it.value()) > ownScore;
    }));
}

EvidenceCounts countsOf(CallResult result, std::chrono::nanoseconds latency, bool isTimed)
{
    EvidenceCounts it;
    switch (result) {
    case CallResult::Succeeded:
        it.succeeded = 1;
        break;
    case CallResult::Failed:
        it.failed = 1;
        break;
    case CallResult::Refused:
        it.refused = 1;
        break;
    }
    // A failed call may be short because it failed, so its latency is not counted.
    if (isTimed && result == CallResult::Succeeded)
        it.latency.at(latencyClassOf(latency)) = 1;
    return it;
}

}
