#pragma once

#include "carobpath/foundation/Time.h"

#include <cstdint>
#include <optional>

namespace carobpath {

/// Bounds how many lines of one kind are written: a burst, then a steady rate. Those left out are counted, and the count
/// goes with the next line that is written.
class LineRate {
public:
    static constexpr double s_linesPerSecond = 100;
    static constexpr double s_burst = 300;

    /// \returns the lines left out since the last one written; empty where this one is to be left out too.
    std::optional<std::uint64_t> next(MonotonicTime now);
    /// Lines that were let through could not be written, or the count that they told.
    void onLost(std::uint64_t lines) { m_leftOut += lines; }

private:
    double m_tokens = s_burst;
    MonotonicTime m_refilledAt {};
    std::uint64_t m_leftOut = 0;
};

}
