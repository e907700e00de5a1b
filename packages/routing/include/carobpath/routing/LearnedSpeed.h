#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace carobpath::routing {

/// Learns at the admitting node how long the backend server needs for a call: the time that calls spent running divided by
/// the number of those that it completed (Little's law). Calls that are still running or were given up count with their time,
/// so that a server which has become slow shows before its calls end.
class LearnedSpeed {
public:
    /// Completed calls without which the estimate says little.
    static constexpr double s_minCompleted = 3;

    /// \param halfLife half of what was learned is forgotten after this time, which is long beside a moment in which the server
    /// is slow.
    explicit LearnedSpeed(std::chrono::duration<double> halfLife)
        : m_halfLife(halfLife)
    {
    }

    /// Handles a change of the number of calls that are running.
    void onRunning(std::uint32_t calls, MonotonicTime now);
    /// Handles a call that the backend server answered.
    void onCompleted(MonotonicTime now);
    /// Forgets what was learned, because the server is another one or no longer cold.
    void restart(MonotonicTime now);

    /// \returns the mean time of a call; empty while too few have been completed.
    std::optional<std::chrono::nanoseconds> serviceTime(MonotonicTime now) const;

private:
    using Seconds = std::chrono::duration<double>;

    double remainingFraction(MonotonicTime now) const;
    Seconds runningTime(MonotonicTime now) const;
    double completed(MonotonicTime now) const;
    void advance(MonotonicTime now);

    Seconds m_halfLife;
    Seconds m_runningTime {};
    double m_completed = 0;
    std::uint32_t m_running = 0;
    MonotonicTime m_at {};
};

}
