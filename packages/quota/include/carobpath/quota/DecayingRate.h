#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>

namespace carobpath::quota {

/// Events per second, averaged with weights that fall exponentially with their age.
class DecayingRate {
public:
    explicit DecayingRate(std::chrono::duration<double> averagingTime)
        : m_averagingTime(averagingTime)
    {
    }

    void add(double events, MonotonicTime now);
    double perSecond(MonotonicTime now) const;

private:
    /// \returns the weighted count of the events so far.
    double count(MonotonicTime now) const;

    std::chrono::duration<double> m_averagingTime;
    double m_count = 0;
    MonotonicTime m_at {};
};

}
