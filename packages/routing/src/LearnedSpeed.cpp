#include "carobpath/routing/LearnedSpeed.h"

#include <cmath>

namespace carobpath::routing {

void LearnedSpeed::onRunning(std::uint32_t calls, MonotonicTime now)
{
    advance(now);
    m_running = calls;
}

void LearnedSpeed::onCompleted(MonotonicTime now)
{
    advance(now);
    m_completed += 1;
}

void LearnedSpeed::restart(MonotonicTime now)
{
    m_runningTime = {};
    m_completed = 0;
    m_at = now;
}

std::optional<std::chrono::nanoseconds> LearnedSpeed::serviceTime(MonotonicTime now) const
{
    if (completed(now) < s_minCompleted)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(runningTime(now) / completed(now));
}

double LearnedSpeed::remainingFraction(MonotonicTime now) const { return std::exp2(-Seconds { now - m_at } / m_halfLife); }

LearnedSpeed::Seconds LearnedSpeed::runningTime(MonotonicTime now) const
{
    return m_runningTime * remainingFraction(now) + m_running * Seconds { now - m_at };
}

double LearnedSpeed::completed(MonotonicTime now) const { return m_completed * remainingFraction(now); }

void LearnedSpeed::advance(MonotonicTime now)
{
    m_runningTime = runningTime(now);
    m_completed = completed(now);
    m_at = now;
}

}
