#pragma once

#include "carobpath/routing/AdmissionQueue.h"

#include <array>
#include <chrono>

namespace carobpath::routing {

/// Moving averages of the time that the upstream needs for a call, for each queue class.
class ServiceTimes {
public:
    static constexpr double s_sampleWeight = 0.1;

    void add(QueueClass, std::chrono::nanoseconds);
    /// Sets the service time that is expected of a class before its first sample. Later estimates are ignored.
    void setInitialEstimate(QueueClass, std::chrono::nanoseconds);
    /// \returns the mean service time of the class; before the first sample the initial estimate, or zero if there is
    /// none.
    std::chrono::nanoseconds expected(QueueClass) const;
    /// \returns the mean service time of the calls of all classes.
    std::chrono::nanoseconds mean() const;

private:
    std::array<double, queueClassCount> m_seconds {};
    std::array<std::chrono::nanoseconds, queueClassCount> m_initialEstimates {};
    double m_overallSeconds = 0;
};

}
