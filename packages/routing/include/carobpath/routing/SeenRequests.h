#pragma once

#include "carobpath/foundation/Identifier.h"

#include <deque>
#include <unordered_set>

namespace carobpath::routing {

/// Remembers the requests that arrived at a node, so that a second copy of one is never taken, not even after the first
/// was refused: the refusal said that the request did not run. Only a request that is told to come back may arrive again.
/// Bounded: the oldest are forgotten.
class SeenRequests {
public:
    static constexpr std::size_t s_maxRemembered = 8192;

    /// \returns whether the request is new.
    bool insert(const RequestId&);
    /// The request was refused for load before it was taken; the same entry node may send it here again.
    void forget(const RequestId& id) { m_known.erase(id); }

private:
    std::deque<RequestId> m_order;
    std::unordered_set<RequestId> m_known;
};

}
