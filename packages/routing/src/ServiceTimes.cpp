#include "carobpath/routing/ServiceTimes.h"

#include <algorithm>
#include <utility>

namespace carobpath::routing {

namespace {

    void updateAverage(double& mean, double sample)
    {
        mean = mean > 0 ? mean + ServiceTimes::s_sampleWeight * (sample - mean) : sample;
    }

    std::chrono::nanoseconds fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(seconds));
    }

}

void ServiceTimes::add(QueueClass queueClass, std::chrono::nanoseconds time)
{
    const double sample = std::chrono::duration<double>(time).count();
    updateAverage(m_seconds[static_cast<std::size_t>(queueClass)], sample);
    updateAverage(m_overallSeconds, sample);
    m_least[static_cast<std::size_t>(queueClass)].add(time);
}

void ServiceTimes::LeastTime::add(std::chrono::nanoseconds time)
{
    if (samples == s_leastWindow) {
        previous = std::exchange(current, std::nullopt);
        samples = 0;
    }
    current = std::min(current.value_or(time), time);
    ++samples;
}

void ServiceTimes::setInitialEstimate(QueueClass queueClass, std::chrono::nanoseconds time)
{
    auto& estimate = m_initialEstimates[static_cast<std::size_t>(queueClass)];
    if (estimate == std::chrono::nanoseconds {})
        estimate = time;
}

std::chrono::nanoseconds ServiceTimes::expected(QueueClass queueClass) const
{
    const auto index = static_cast<std::size_t>(queueClass);
    return m_seconds[index] > 0 ? fromSeconds(m_seconds[index]) : m_initialEstimates[index];
}

std::chrono::nanoseconds ServiceTimes::least(QueueClass queueClass) const
{
    const auto& it = m_least[static_cast<std::size_t>(queueClass)];
    const auto current = it.current.value_or(std::chrono::nanoseconds {});
    return std::min(current, it.previous.value_or(current));
}

std::chrono::nanoseconds ServiceTimes::mean() const { return fromSeconds(m_overallSeconds); }

}
