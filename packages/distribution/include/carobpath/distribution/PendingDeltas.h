#pragma once

#include "carobpath/distribution/Delta.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace carobpath::distribution {

/// Deltas from peers that are not applied yet, and the results of those that came before.
class PendingDeltas {
public:
    /// Deltas that are kept; further ones are dropped, and the node reads the log instead.
    static constexpr std::size_t s_capacity = 32;
    /// Results that are remembered, so that each delta is forwarded once.
    static constexpr std::size_t s_memory = 64;

    /// Keeps the delta. Of two that lead to the same version, the one with the older base is kept.
    void add(std::shared_ptr<const Delta>);

    /// Removes the deltas up to the version that is held, and those that lead on from it.
    /// \returns the latter in order. None is skipped: where one is missing, those after it stay.
    std::vector<std::shared_ptr<const Delta>> takeFrom(publication::Offset held);

    /// \returns whether this is the first call with this result.
    bool markSeen(const publication::ConfigurationStamp& result);

private:
    std::map<publication::Offset, std::shared_ptr<const Delta>> m_byResult;
    std::deque<publication::ConfigurationStamp> m_seen;
};

}
