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
    return m_unconnected ? s_downAfterUnconnected : s_downAfterLost;
}

void BackendHealth::countFailure(bool connected, MonotonicTime now)
{
    ++m_failuresInRow;
    m_unconnected = !connected;
    if (m_failuresInRow < threshold())
        return;
    if (!m_down)
        m_downSince = now;
    m_down = true;
    m_nextTrial = now + s_trialInterval;
}

void BackendHealth::onHealthHint(bool healthy, MonotonicTime now)
{
    m_hintedUnhealthy = !healthy;
    if (healthy && m_down)
        m_nextTrial = std::min(m_nextTrial, now);
}

bool BackendHealth::tryTrial(publication::Repeatability repeatability, MonotonicTime now)
{
    if (now < m_nextTrial)
        return false;
    // A connection that cannot be made is no harm to any call; a lost one is to a call that may not be repeated.
    const bool harmless = m_unconnected || repeatability == publication::Repeatability::Repeatable;
    if (!harmless && now - m_downSince < s_anyTrialAfter)
        return false;
    m_nextTrial = now + s_trialInterval;
    return true;
}

}
