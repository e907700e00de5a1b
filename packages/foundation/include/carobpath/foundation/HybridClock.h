#pragma once

#include "carobpath/foundation/HybridTime.h"

#include <chrono>

namespace carobpath {

/// What came of one remote time.
struct HybridObservation {
    HybridTime time;
    /// The remote time was further ahead than the drift allowed, and was taken as the bound.
    bool isClamped = false;
};

/// A hybrid logical clock: each event's time is after every event that this process caused or was told of,
/// and stays near the wall clock. Not safe for concurrent use.
class HybridClock {
public:
    static constexpr std::chrono::milliseconds s_maximumDrift { 10'000 };

    /// Time of a local event, such as sending a message.
    HybridTime tick(WallTime now);

    /// Takes in the time that came with a message. A remote time more than s_maximumDrift ahead of now is
    /// clamped, so that one node with a wrong clock can't drag the others along.
    HybridObservation observe(HybridTime remote, WallTime now);

    /// The latest time given out.
    HybridTime latest() const { return m_latest; }

private:
    HybridTime m_latest;
};

}
