#include "carobpath/routing/CallerTimeouts.h"

#include <algorithm>

namespace carobpath::routing {

void CallerTimeouts::onFirstTry(std::chrono::milliseconds remaining)
{
    ++m_samples;
    // The first samples weigh alike.
    const double weight = std::max(s_weight, 1.0 / m_samples);
    const Milliseconds difference = remaining - m_mean;
    m_mean += difference * weight;
    if (m_samples > 1)
        m_deviation += (Milliseconds { std::chrono::abs(difference) } - m_deviation) * weight;
}

std::optional<std::chrono::milliseconds> CallerTimeouts::timeUsedUp(std::chrono::milliseconds remaining) const
{
    if (m_samples < s_minSamples)
        return std::nullopt;
    if (remaining >= m_mean - m_deviation * s_deviations)
        return std::chrono::milliseconds {};
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_mean - remaining);
}

}
