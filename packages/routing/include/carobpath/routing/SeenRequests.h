#pragma once

#include "carobpath/foundation/Identifier.h"

#include <deque>
#include <unordered_set>

namespace carobpath::routing {

/// Remembers the requests that arrived at a node, so that a second copy is never accepted, even if the first was
/// refused: that refusal reported that the request did not run. Only a request that was refused for load may arrive
/// again. The set is bounded; the oldest requests are evicted.
class SeenRequests {
public:
    static constexpr std::size_t s_maxRemembered = 8192;

    /// \returns whether the request is new.
    bool insert(const RequestId&);
    /// Forgets a request that was refused for load before it ran; the same entry node may send it again.
    void forget(const RequestId& id) { m_known.erase(id); }

private:
    std::deque<RequestId> m_order;
    std::unordered_set<RequestId> m_known;
};

}
