#include "carobpath/capacity/InnerShare.h"

#include <algorithm>
#include <cmath>

namespace carobpath::capacity {

namespace {

    using Seconds = std::chrono::duration<double>;

    constexpr Seconds averagingTime { 1 };
    constexpr double serviceTimeGain = 1.0 / 8;

}

void InnerShare::onArrived(MonotonicTime now)
{
    const Seconds age = now - m_arrivedAt;
    m_arrivals = m_arrivals * std::exp(-age / averagingTime) + 1;
    m_arrivedAt = now;
}

void InnerShare::onDenied(MonotonicTime now) { m_keptUntil = now + s_keptFor; }

void InnerShare::onAnswered(std::chrono::nanoseconds serviceTime)
{
    const bool isFirst = m_serviceTime == Seconds {};
    m_serviceTime += (Seconds { serviceTime } - m_serviceTime) * (isFirst ? 1 : serviceTimeGain);
}

std::uint32_t InnerShare::keptSlots(std::uint32_t limit, MonotonicTime now) const
{
    if (now >= m_keptUntil)
        return 0;
    const Seconds age = now - m_arrivedAt;
    const double perSecond = m_arrivals * std::exp(-age / averagingTime) / averagingTime.count();
    const auto used = static_cast<std::uint32_t>(std::lround(perSecond * m_serviceTime.count()));
    return std::min(used, limit / 2);
}

}
