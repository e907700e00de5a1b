#pragma once

#include "carobpath/foundation/Time.h"

#include <deque>

namespace carobpath::distribution {

/// Bounds the whole-set transfers that a node serves at a time.
class SnapshotTransferLimit {
public:
    static constexpr std::size_t s_slots = 2;
    /// Time that a transfer holds its slot.
    static constexpr std::chrono::milliseconds s_transferTime { 250 };

    /// \returns whether a transfer may start now; it then holds a slot.
    bool tryStart(MonotonicTime now)
    {
        while (!m_startedAt.empty() && now - m_startedAt.front() >= s_transferTime)
            m_startedAt.pop_front();
        if (m_startedAt.size() >= s_slots)
            return false;
        m_startedAt.push_back(now);
        return true;
    }

private:
    std::deque<MonotonicTime> m_startedAt;
};

}
