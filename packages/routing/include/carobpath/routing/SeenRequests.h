#pragma once

#include "carobpath/foundation/Identifier.h"

#include <list>
#include <unordered_map>

namespace carobpath::routing {

/// Remembers the requests that arrived at a node, so that a second copy is never accepted, even if the first was
/// refused: that refusal reported that the request did not run. Only a request that was refused for load may arrive
/// again. The set is bounded; the oldest requests are evicted.
class SeenRequests {
public:
    static constexpr std::size_t s_maxRemembered = 8192;

    SeenRequests() = default;
    SeenRequests(const SeenRequests&) = delete;
    SeenRequests& operator=(const SeenRequests&) = delete;

    /// \returns whether the request is new.
    bool insert(const RequestId&);
    /// Forgets a request that was refused for load before it ran; the same entry node may send it again.
    void forget(const RequestId&);

private:
    using Order = std::list<RequestId>;

    /// The remembered requests, oldest first.
    Order m_order;
    std::unordered_map<RequestId, Order::iterator> m_known;
};

}
