#pragma once

#include "carobpath/foundation/Identifier.h"

#include <deque>
#include <unordered_set>

namespace carobpath::routing {

/// Remembers the latest requests that were sent to the backend server and may not be repeated,
/// so that a request that arrives twice is not sent twice. Bounded: the oldest are forgotten.
class RecentRequests {
public:
    static constexpr std::size_t s_maxRemembered = 4096;

    void add(const RequestId&);
    /// The request did not run, so that it may come again.
    void forget(const RequestId&);
    bool contains(const RequestId& id) const { return m_known.contains(id); }

private:
    std::deque<RequestId> m_order;
    std::unordered_set<RequestId> m_known;
};

}
