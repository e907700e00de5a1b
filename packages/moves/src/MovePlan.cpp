#include "carobpath/moves/MovePlan.h"

#include <algorithm>

namespace carobpath::moves {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds minWindowLength { 100 };
    /// Time for evidence to reach all nodes.
    constexpr milliseconds evidenceDelay { 1500 };
    constexpr std::uint32_t windowsForRaising = 10;
    constexpr std::uint32_t minDwell = 2;
    constexpr milliseconds typicalWarmUp { 30000 };
    constexpr std::uint32_t minWarmUpWindows = 1;
    constexpr std::uint32_t maxWarmUpWindows = 2;
    constexpr milliseconds maxInstanceWarmUp { 10000 };
    constexpr milliseconds minVerdictMargin { 1000 };
    constexpr milliseconds maxVerdictMargin { 4000 };
    constexpr int verdictMarginDivisor = 50;

    std::vector<double> sharesOf(std::uint32_t raises)
    {
        switch (raises) {
        case 1:
            return { 0.05, 0.95 };
        case 2:
            return { 0.05, 0.3, 0.95 };
        case 3:
            return { 0.05, 0.15, 0.5, 0.95 };
        default:
            return { 0.05, 0.15, 0.4, 0.7, 0.95 };
        }
    }

}

MovePlan::MovePlan(WallTime startAt, WallTime deadline)
    : m_startAt(startAt)
    , m_deadline(deadline)
    , m_windowLength(std::max(minWindowLength, (deadline - startAt) / s_windows))
{
    const auto delayed = static_cast<std::uint32_t>((evidenceDelay + m_windowLength - milliseconds { 1 }) / m_windowLength);
    m_dwell = std::clamp(1 + delayed, minDwell, windowsForRaising);
    m_shares = sharesOf(std::max(1U, (windowsForRaising - 1) / m_dwell));
    m_warmUpWindows = std::clamp(static_cast<std::uint32_t>(typicalWarmUp / m_windowLength), minWarmUpWindows, maxWarmUpWindows);
}

milliseconds MovePlan::instanceWarmUp() const
{
    return std::min(maxInstanceWarmUp, m_windowLength);
}

std::uint32_t MovePlan::windowAt(WallTime time) const
{
    if (time <= m_startAt)
        return 0;
    const auto index = (time - m_startAt) / m_windowLength;
    return static_cast<std::uint32_t>(std::min<std::int64_t>(index, s_windows - 1));
}

WallTime MovePlan::windowStart(std::uint32_t window) const
{
    return m_startAt + m_windowLength * window;
}

WallTime MovePlan::verdictDueAt() const
{
    const auto margin = std::clamp((m_deadline - m_startAt) / verdictMarginDivisor, minVerdictMargin, maxVerdictMargin);
    return m_deadline - margin;
}

}
