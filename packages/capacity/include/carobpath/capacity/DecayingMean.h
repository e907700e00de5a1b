#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>

namespace carobpath::capacity {

/// Mean of recent samples, averaged with weights that fall exponentially with their age.
class DecayingMean {
public:
    /// \param averagingTime time in which the weight of a sample falls by the factor e.
    explicit DecayingMean(std::chrono::duration<double> averagingTime)
        : m_averagingTime(averagingTime)
    {
    }

    void add(double sample, MonotonicTime now);
    /// \returns the mean; 0 before the first sample.
    double value() const { return m_weight > 0 ? m_sum / m_weight : 0; }
    /// \returns the weight of all samples together, where one that is just added weighs 1.
    double weight(MonotonicTime now) const { return m_weight * decay(now); }

private:
    double decay(MonotonicTime now) const;

    std::chrono::duration<double> m_averagingTime;
    double m_weight = 0;
    double m_sum = 0;
    MonotonicTime m_at {};
};

}
