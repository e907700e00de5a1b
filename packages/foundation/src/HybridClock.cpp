#include "carobpath/foundation/HybridClock.h"

#include <algorithm>
#include <limits>

namespace carobpath {

namespace {

    // A full counter carries into the milliseconds, so that the order holds at any event rate.
    HybridTime successor(HybridTime time)
    {
        if (time.counter == std::numeric_limits<std::uint32_t>::max())
            return { time.wall + std::chrono::milliseconds(1), 0 };
        return { time.wall, time.counter + 1 };
    }

}

HybridTime HybridClock::tick(WallTime now)
{
    m_latest = now > m_latest.wall ? HybridTime { now, 0 } : successor(m_latest);
    return m_latest;
}

HybridObservation HybridClock::observe(HybridTime remote, WallTime now)
{
    const WallTime bound = now + s_maximumDrift;
    const bool isClamped = remote.wall > bound;
    if (isClamped)
        remote = { bound, 0 };
    m_latest = std::max(m_latest, remote);
    return { tick(now), isClamped };
}

}
