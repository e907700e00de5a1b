#include "carobpath/capacity/ParentLimit.h"

#include <algorithm>
#include <cmath>

namespace carobpath::capacity {

namespace {

    using Seconds = std::chrono::duration<double>;

    constexpr Seconds shortestWindow { 0.25 };
    constexpr Seconds longestWindow { 1 };
    /// Ended calls that make a short window complete.
    constexpr std::uint32_t endedInWindow = 8;
    /// Wasted calls without which no bound begins: a single failure has other causes.
    constexpr std::uint32_t leastWasted = 2;
    constexpr Seconds usualRateMemory { 60 };
    constexpr double runTimeGain = 1.0 / 8;
    /// A bound is lifted where it exceeds the rate of calls by this factor.
    constexpr double idleFactor = 1.5;

}

double ParentLimit::Curve::timeToPlateau() const { return std::cbrt(drop / (s_growth * scale)); }

double ParentLimit::Curve::at(MonotonicTime now) const
{
    const double sincePlateau = Seconds { now - since }.count() - timeToPlateau() * slowness;
    const double t = sincePlateau < 0 ? sincePlateau / slowness : sincePlateau / std::cbrt(slowness * slowness);
    return std::max(s_leastRate, plateau + scale * s_growth * t * t * t);
}

std::optional<double> ParentLimit::callsPerSecond(MonotonicTime now) const
{
    return m_curve ? std::optional { m_curve->at(now) } : std::nullopt;
}

double ParentLimit::tokensAt(MonotonicTime now) const
{
    const double rate = m_curve->at(now);
    const double most = std::max(1.0, rate * s_burst.count());
    return std::min(most, m_tokens + rate * Seconds { now - m_tokensAt }.count());
}

bool ParentLimit::tryAdmit(MonotonicTime now)
{
    if (!m_curve) {
        ++m_window.admitted;
        return true;
    }
    m_tokens = tokensAt(now);
    m_tokensAt = now;
    if (m_tokens < 1) {
        ++m_window.refused;
        return false;
    }
    m_tokens -= 1;
    ++m_window.admitted;
    return true;
}

void ParentLimit::giveBack()
{
    m_tokens += 1;
    m_window.admitted -= m_window.admitted > 0 ? 1 : 0;
}

Seconds ParentLimit::untilAdmitted(MonotonicTime now) const
{
    if (!m_curve)
        return {};
    return Seconds { std::max(0.0, 1 - tokensAt(now)) / m_curve->at(now) };
}

void ParentLimit::onEnded(MonotonicTime startedAt, double wasted, double denied, MonotonicTime now)
{
    if (wasted > 0)
        m_lastWasteAt = now;
    m_runTime += (Seconds { now - startedAt } - m_runTime) * runTimeGain;
    // Calls that started before the bound was lowered tell nothing of the new one.
    if (m_curve && startedAt < m_curve->since)
        return;
    if (m_window.since == MonotonicTime {})
        m_window.since = now;
    ++m_window.ended;
    m_window.wasted += wasted;
    if (isComplete(now))
        closeWindow(denied, now);
}

bool ParentLimit::isComplete(MonotonicTime now) const
{
    const Seconds age = now - m_window.since;
    return age >= longestWindow || (age >= shortestWindow && m_window.ended >= endedInWindow);
}

void ParentLimit::closeWindow(double denied, MonotonicTime now)
{
    const Seconds length = now - m_window.since;
    const double admittedRate = m_window.admitted / length.count();
    const double goodRate = (m_window.ended - m_window.wasted) / length.count();
    m_usualRate = std::max(goodRate, m_usualRate * (1 - std::min(1.0, length / usualRateMemory)));
    if (isTooWasteful())
        lower(admittedRate, denied, now);
    else
        liftIfIdle(admittedRate, now);
    m_window = Window {};
    m_window.since = now;
}

bool ParentLimit::isTooWasteful() const
{
    const bool isEnough = m_window.wasted >= (m_curve ? 1 : leastWasted);
    return isEnough && m_window.wasted > m_window.ended * s_toleratedWaste;
}

void ParentLimit::lower(double admittedRate, double denied, MonotonicTime now)
{
    const double before = m_curve ? std::min(m_curve->at(now), admittedRate) : admittedRate;
    const double plateau = std::max(s_leastRate, before * (1 - std::min(denied, s_maxDecrease)));
    const double bound = plateau * (1 - s_minDecrease);
    m_curve = Curve { now, plateau, plateau - bound, std::max(plateau, m_usualRate * s_usualPart), std::max(1.0, m_runTime / s_shortRun) };
    m_tokens = std::min(m_tokens, 1.0);
    m_tokensAt = now;
}

void ParentLimit::liftIfIdle(double admittedRate, MonotonicTime now)
{
    const bool isIdle = m_window.refused == 0 && m_window.wasted == 0;
    if (m_curve && isIdle && m_curve->at(now) > admittedRate * idleFactor)
        m_curve.reset();
}

}
