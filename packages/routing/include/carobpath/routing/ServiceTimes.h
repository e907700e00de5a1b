#pragma once

#include "carobpath/routing/AdmissionQueue.h"

#include <array>
#include <chrono>

namespace carobpath::routing {

/// Mean time that the upstream works on a call, for each class of the queue; moving average.
class ServiceTimes {
public:
    static constexpr double s_weight = 0.1;

    void add(QueueClass, std::chrono::nanoseconds);
    /// \returns zero before the first sample.
    std::chrono::nanoseconds expected(QueueClass) const;
    /// \returns the mean over the calls of all classes.
    std::chrono::nanoseconds mean() const;

private:
    std::array<double, queueClasses> m_seconds {};
    double m_allSeconds = 0;
};

}
