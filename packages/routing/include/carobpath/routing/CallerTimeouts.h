#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace carobpath::routing {

/// Learns which time the callers of a route give a call at its first try, and tells from the time that is left how long one of them has waited
/// before. First tries are known by their connection: callers try again over a new one.
class CallerTimeouts {
public:
    /// First tries from which on the time is known.
    static constexpr std::uint32_t s_minSamples = 4;
    static constexpr double s_weight = 1.0 / 16;
    /// Mean deviations below the mean that first tries still have.
    static constexpr double s_deviations = 2.5;

    /// A call came on a connection that was used before.
    void onFirstTry(std::chrono::milliseconds remaining);

    /// \returns the time that a caller has used up who has so much left, 0 for a first try; empty while that is not known.
    std::optional<std::chrono::milliseconds> timeUsedUp(std::chrono::milliseconds remaining) const;

private:
    using Milliseconds = std::chrono::duration<double, std::milli>;

    std::uint32_t m_samples = 0;
    Milliseconds m_mean {};
    Milliseconds m_deviation {};
};

}
