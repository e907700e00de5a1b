#include "carobpath/membership/DirectorySchedule.h"

#include <algorithm>

namespace carobpath::membership {

DirectoryStep DirectorySchedule::next(MonotonicTime now)
{
    if (m_running || now < m_dueAt)
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

void DirectorySchedule::onListed(MonotonicTime now)
{
    m_running = false;
    m_backoff.reset();
    m_dueAt = now + jitter(m_isolated ? s_isolatedInterval : s_steadyInterval);
}

void DirectorySchedule::onFailed(MonotonicTime now)
{
    m_running = false;
    m_dueAt = now + m_backoff.next(m_random);
}

void DirectorySchedule::onLivePeersChanged(std::size_t alive, MonotonicTime now)
{
    const bool wasIsolated = m_isolated;
    m_isolated = alive == 0;
    if (m_isolated && !wasIsolated)
        m_dueAt = std::min(m_dueAt, now);
    if (!m_isolated && wasIsolated && m_registered && !m_running)
        m_dueAt = now + jitter(s_steadyInterval);
}

std::chrono::milliseconds DirectorySchedule::jitter(std::chrono::milliseconds time)
{
    return std::chrono::milliseconds { std::uniform_int_distribution<std::int64_t>(time.count() / 2, time.count())(m_random) };
}

}
