#include "carobpath/quota/DecayingRate.h"

#include <cmath>

namespace carobpath::quota {

void DecayingRate::add(double events, MonotonicTime now)
{
    m_count = count(now) + events;
    m_at = now;
}

double DecayingRate::perSecond(MonotonicTime now) const { return count(now) / m_averagingTime.count(); }

double DecayingRate::count(MonotonicTime now) const
{
    const std::chrono::duration<double> age = now - m_at;
    return m_count * std::exp(-age / m_averagingTime);
}

}
