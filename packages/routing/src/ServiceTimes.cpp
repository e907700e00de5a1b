#include "carobpath/routing/ServiceTimes.h"

namespace carobpath::routing {

void ServiceTimes::add(QueueClass queueClass, std::chrono::nanoseconds time)
{
    auto& mean = m_seconds[static_cast<std::size_t>(queueClass)];
    const double sample = std::chrono::duration<double>(time).count();
    mean = mean > 0 ? mean + s_weight * (sample - mean) : sample;
}

std::chrono::nanoseconds ServiceTimes::expected(QueueClass queueClass) const
{
    const std::chrono::duration<double> mean(m_seconds[static_cast<std::size_t>(queueClass)]);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(mean);
}

}
