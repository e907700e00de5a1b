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
    /// What to expect of a class before its first sample. The first guess stands.
    void guess(QueueClass, std::chrono::nanoseconds);
    /// \returns the guess before the first sample, and zero before that.
    std::chrono::nanoseconds expected(QueueClass) const;
    /// \returns the mean over the calls of all classes.
    std::chrono::nanoseconds mean() const;

private:
    std::array<double, queueClassCount> m_seconds {};
    std::array<std::chrono::nanoseconds, queueClassCount> m_guesses {};
    double m_allSeconds = 0;
};

}
