#include "carobpath/distribution/WholeFetch.h"

namespace carobpath::distribution {

void WholeFetch::want(const Endpoint& peer, bool deltaExpected, MonotonicTime now)
{
    const auto earliest = deltaExpected ? now + s_deltaGrace : now;
    if (!m_peer || earliest < m_notBefore)
        m_notBefore = earliest;
    m_peer = peer;
}

void WholeFetch::satisfied()
{
    m_peer.reset();
    m_backoff.reset();
}

std::optional<Endpoint> WholeFetch::start(MonotonicTime now)
{
    if (!m_peer || m_running || now < m_notBefore || now < m_backoffUntil)
        return std::nullopt;
    m_running = true;
    return m_peer;
}

void WholeFetch::onEnded(bool succeeded, MonotonicTime now, std::mt19937_64& random)
{
    m_running = false;
    if (succeeded)
        satisfied();
    else
        m_backoffUntil = now + m_backoff.next(random);
}

}
