#pragma once

/// \file
/// The two clocks of the system. Decisions never read a clock: they are given a time point.

#include <chrono>

namespace carobpath {

/// Clock for timeouts, leases and latencies. It never steps back and means nothing on another node.
using MonotonicClock = std::chrono::steady_clock;
using MonotonicTime = MonotonicClock::time_point;

/// Clock for moments that operators name, such as the deadline of a move. UTC.
using WallClock = std::chrono::system_clock;
using WallTime = std::chrono::time_point<WallClock, std::chrono::milliseconds>;

/// Both clocks read at one moment, for decisions that need the two.
struct Now {
    MonotonicTime monotonic;
    WallTime wall;
};

}
