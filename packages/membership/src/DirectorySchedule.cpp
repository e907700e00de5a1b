#include "carobpath/membership/DirectorySchedule.h"

#include <algorithm>
#include <utility>

namespace carobpath::membership {

DirectoryStep DirectorySchedule::next(MonotonicTime now)
{
    if (m_running || now < dueAt())
        return DirectoryStep::Nothing;
    m_running = true;
    return m_registered ? DirectoryStep::List : DirectoryStep::Register;
}

void DirectorySchedule::onRegistered(MonotonicTime now)
{
    m_running = false;
    m_registered = true;
    m_backoff.reset();
    m_dueAt = now;
}

void DirectorySchedule::onListed(bool isSelfListed, MonotonicTime now)
{
    m_running = false;
    m_backoff.reset();
    const bool isStale = std::exchange(m_isListingStale, false);
    if (!isSelfListed || isStale) {
        m_registered = isSelfListed;
        m_steadySince.reset();
        m_dueAt = recoveryTime(now);
        return;
    }
    if (m_alive > 0) {
        beginSteadyInterval(now);
        return;
    }
    m_dueAt = now + std::chrono::duration_cast<std::chrono::milliseconds>(drawFraction() * s_isolatedInterval);
}

void DirectorySchedule::onEntriesLost(MonotonicTime now)
{
    m_isListingStale = m_running;
    if (m_running)
        return;
    m_steadySince.reset();
    m_dueAt = recoveryTime(now);
}

MonotonicTime DirectorySchedule::recoveryTime(MonotonicTime now)
{
    const auto nodes = static_cast<std::int64_t>(m_alive) + 1;
    std::uniform_int_distribution<std::int64_t> spread { 0, (s_recoveryInterval * nodes).count() };
    return now + std::chrono::milliseconds { spread(m_random) };
}

void DirectorySchedule::onFailed(MonotonicTime now)
{
    m_running = false;
    m_steadySince.reset();
    m_dueAt = now + m_backoff.next(m_random);
}

void DirectorySchedule::onLivePeersChanged(std::size_t alive, MonotonicTime now)
{
    const auto before = std::exchange(m_alive, alive);
    if (alive == 0 && before > 0) {
        m_steadySince.reset();
        m_dueAt = std::min(m_dueAt, now);
    }
    if (alive > 0 && before == 0 && m_registered && !m_running)
        beginSteadyInterval(now);
}

MonotonicTime DirectorySchedule::dueAt() const
{
    if (!m_steadySince)
        return m_dueAt;
    return *m_steadySince + std::chrono::duration_cast<std::chrono::milliseconds>(m_steadyFraction * steadyInterval());
}

void DirectorySchedule::beginSteadyInterval(MonotonicTime now)
{
    m_steadySince = now;
    m_steadyFraction = drawFraction();
    m_dueAt = now;
}

std::chrono::milliseconds DirectorySchedule::steadyInterval() const
{
    const auto nodes = static_cast<std::int64_t>(m_alive) + 1;
    return std::max(s_steadyInterval, s_fleetInterval * nodes);
}

double DirectorySchedule::drawFraction()
{
    return std::uniform_real_distribution<double>(0.5, 1)(m_random);
}

}
