#include "carobpath/capacity/DecayingMean.h"

#include <cmath>

namespace carobpath::capacity {

double DecayingMean::decay(MonotonicTime now) const
{
    const std::chrono::duration<double> age = now - m_at;
    return std::exp(-age / m_averagingTime);
}

void DecayingMean::add(double sample, MonotonicTime now)
{
    const double factor = decay(now);
    m_weight = m_weight * factor + 1;
    m_sum = m_sum * factor + sample;
    m_at = now;
}

}
