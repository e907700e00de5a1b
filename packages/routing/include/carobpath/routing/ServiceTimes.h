#pragma once

#include "carobpath/routing/AdmissionQueue.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

namespace carobpath::routing {

/// Moving averages of the time that the upstream needs for a call, for each queue class.
class ServiceTimes {
public:
    static constexpr double s_sampleWeight = 0.1;
    /// The least time is remembered for one to two times this number of samples.
    static constexpr std::uint32_t s_leastWindow = 100;

    void add(QueueClass, std::chrono::nanoseconds);
    /// Sets the service time that is expected of a class before its first sample. Later estimates are ignored.
    void setInitialEstimate(QueueClass, std::chrono::nanoseconds);
    /// \returns the mean service time of the class; before the first sample the initial estimate, or zero if there is
    /// none.
    std::chrono::nanoseconds expected(QueueClass) const;
    /// \returns the shortest recent service time of the class; zero before the first sample.
    std::chrono::nanoseconds least(QueueClass) const;
    /// \returns the mean service time of the calls of all classes.
    std::chrono::nanoseconds mean() const;

private:
    /// Minimum of the samples of the current and the previous window.
    struct LeastTime {
        std::optional<std::chrono::nanoseconds> current;
        std::optional<std::chrono::nanoseconds> previous;
        std::uint32_t samples = 0;

        void add(std::chrono::nanoseconds);
    };

    std::array<double, queueClassCount> m_seconds {};
    std::array<std::chrono::nanoseconds, queueClassCount> m_initialEstimates {};
    std::array<LeastTime, queueClassCount> m_least;
    double m_overallSeconds = 0;
};

}
