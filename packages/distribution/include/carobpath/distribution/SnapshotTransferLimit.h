#pragma once

#include "carobpath/foundation/Time.h"

#include <deque>

namespace carobpath::distribution {

/// Limits the number of snapshots that a node serves at the same time. The end of a transfer is not observed: each is
/// taken to last for \c s_transferTime.
class SnapshotTransferLimit {
public:
    /// Maximum number of transfers at the same time.
    static constexpr std::size_t s_slots = 2;
    /// Time that a transfer occupies a slot.
    static constexpr std::chrono::milliseconds s_transferTime { 250 };

    /// \returns whether a transfer may start now. If so, it occupies a slot.
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
