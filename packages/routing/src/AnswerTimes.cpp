#include "carobpath/routing/AnswerTimes.h"

namespace carobpath::routing {

void TimeBound::add(std::chrono::nanoseconds sample)
{
    const Nanoseconds time { sample };
    if (!m_hasSample) {
        m_hasSample = true;
        m_mean = time;
        m_deviation = time / 2;
        return;
    }
    const auto error = time - m_mean;
    m_deviation += s_deviationWeight * (std::chrono::abs(error) - m_deviation);
    m_mean += s_meanWeight * error;
}

std::optional<std::chrono::nanoseconds> TimeBound::value() const
{
    if (!m_hasSample)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(m_mean + s_deviations * m_deviation);
}

}
