#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace carobpath::capacity {

/// A refused caller that may come back.
struct Returner {
    /// Rank of its call; 0 is the highest.
    std::uint32_t rank = 0;
    /// Time until there is room for it, behind those that already wait.
    std::chrono::duration<double> wait {};
    MonotonicTime deadline;
};

/// Gives refused callers places in time to come back, one after the other at the rate at which room comes free, the more
/// urgent first. A caller that finds no place within its deadline takes none, and is told a time after it.
class ReturnSchedule {
public:
    /// Part of a caller's time left within which its place must lie, so that its call can still be served.
    static constexpr double s_latestPart = 1.0 / 3;

    /// \param interval time in which room for one call comes free.
    /// \returns the time after which the caller may come back.
    std::chrono::milliseconds place(const Returner&, std::chrono::duration<double> interval, MonotonicTime now);

private:
    /// \returns the last place given to callers of the rank or of a more urgent one.
    MonotonicTime lastPlace(std::uint32_t rank) const;

    std::map<std::uint32_t, MonotonicTime> m_lastByRank;
};

}
