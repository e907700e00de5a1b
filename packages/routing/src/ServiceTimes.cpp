#include "carobpath/routing/ServiceTimes.h"

namespace carobpath::routing {

namespace {

    void average(double& mean, double sample)
    {
        mean = mean > 0 ? mean + ServiceTimes::s_weight * (sample - mean) : sample;
    }

    std::chrono::nanoseconds fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(seconds));
    }

}

void ServiceTimes::add(QueueClass queueClass, std::chrono::nanoseconds time)
{
    const double sample = std::chrono::duration<double>(time).count();
    average(m_seconds[static_cast<std::size_t>(queueClass)], sample);
    average(m_allSeconds, sample);
}

void ServiceTimes::guess(QueueClass queueClass, std::chrono::nanoseconds time)
{
    auto& held = m_guesses[static_cast<std::size_t>(queueClass)];
    if (held == std::chrono::nanoseconds {})
        held = time;
}

std::chrono::nanoseconds ServiceTimes::expected(QueueClass queueClass) const
{
    const auto index = static_cast<std::size_t>(queueClass);
    return m_seconds[index] > 0 ? fromSeconds(m_seconds[index]) : m_guesses[index];
}

std::chrono::nanoseconds ServiceTimes::mean() const { return fromSeconds(m_allSeconds); }

}
