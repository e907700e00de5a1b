#include "carobpath/routing/BackendHealth.h"

namespace carobpath::routing {

void BackendHealth::restart() { *this = BackendHealth {}; }

void BackendHealth::onResult(BackendResult result, MonotonicTime now)
{
    switch (result) {
    case BackendResult::Answered:
    case BackendResult::ServerError:
    case BackendResult::Refused:
        m_failuresInRow = 0;
        m_down = false;
        break;
    case BackendResult::ConnectFailed:
        countFailure(false, now);
        break;
    case BackendResult::ConnectionLost:
    case BackendResult::TimedOut:
        countFailure(true, now);
        break;
    case BackendResult::Cancelled:
        break;
    }
}

std::uint32_t BackendHealth::threshold() const
{
    if (m_hintedUnhealthy)
        return 1;
    return m_connectFailed ? s_downAfterConnectFailures : s_downAfterLostCalls;
}

void BackendHealth::countFailure(bool connected, MonotonicTime now)
{
    ++m_failuresInRow;
    m_connectFailed = !connected;
    if (m_failuresInRow < threshold())
        return;
    if (!m_down)
        m_downSince = now;
    m_down = true;
    m_nextProbe = now + s_probeInterval;
}

void BackendHealth::onHealthHint(bool healthy, MonotonicTime now)
{
    m_hintedUnhealthy = !healthy;
    if (healthy && m_down)
        m_nextProbe = std::min(m_nextProbe, now);
}

bool BackendHealth::tryProbe(publication::Repeatability repeatability, MonotonicTime now)
{
    if (now < m_nextProbe)
        return false;
    // A failed connection does not harm any call, but a lost connection harms a call that may not be repeated.
    const bool harmless = m_connectFailed || repeatability == publication::Repeatability::Repeatable;
    if (!harmless && now - m_downSince < s_anyProbeAfter)
        return false;
    m_nextProbe = now + s_probeInterval;
    return true;
}

}
