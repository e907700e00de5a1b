#pragma once

#include <chrono>
#include <optional>

namespace carobpath::routing {

/// Estimates a time that most samples do not exceed from their moving mean and mean deviation (RFC 6298).
class TimeBound {
public:
    static constexpr double s_meanWeight = 1.0 / 8;
    static constexpr double s_deviationWeight = 1.0 / 4;
    static constexpr double s_deviations = 4;

    void add(std::chrono::nanoseconds sample);

    /// \returns the estimate; empty before the first sample.
    std::optional<std::chrono::nanoseconds> value() const;

private:
    using Nanoseconds = std::chrono::duration<double, std::nano>;

    bool m_hasSample = false;
    Nanoseconds m_mean {};
    Nanoseconds m_deviation {};
};

/// Times of a route's answers at the entry node.
struct AnswerTimes {
    /// From an attempt to the header of its answer.
    TimeBound header;
    /// From the header until the body was passed on to the caller.
    TimeBound body;
};

}
