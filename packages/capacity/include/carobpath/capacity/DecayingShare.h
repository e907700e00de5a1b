#pragma once

#include "carobpath/capacity/DecayingMean.h"

#include <chrono>

namespace carobpath::capacity {

/// Part of the recent events that were hits, averaged as by \c DecayingMean.
class DecayingShare {
public:
    explicit DecayingShare(std::chrono::duration<double> averagingTime)
        : m_hits(averagingTime)
    {
    }

    void add(bool isHit, MonotonicTime now) { m_hits.add(isHit ? 1 : 0, now); }
    /// \returns the part, from 0 to 1; 0 before the first event.
    double value() const { return m_hits.value(); }

private:
    DecayingMean m_hits;
};

}
