#include "carobpath/routing/ConcurrencyLimit.h"

#include <algorithm>

namespace carobpath::routing {

void ConcurrencyLimit::restart(const membership::Upstream& upstream)
{
    update(upstream);
    m_limit = std::max(1U, m_slots / 2);
    m_refusedBefore = false;
    m_decreasedAt = {};
    m_answeredLevel = 0;
}

void ConcurrencyLimit::update(const membership::Upstream& upstream)
{
    m_slots = std::max(1U, upstream.slots);
    m_cold = upstream.state == membership::UpstreamState::Cold;
    m_limit = std::min<double>(m_limit, m_slots);
}

void ConcurrencyLimit::onAnswered(std::uint32_t inFlight, bool wasLimiting, MonotonicTime now)
{
    if (inFlight >= answeredLevel(now)) {
        m_answeredLevel = inFlight;
        m_answeredAt = now;
    }
    if (!wasLimiting)
        return;
    const bool growsSlowly = m_cold || m_refusedBefore;
    m_limit = std::min<double>(m_slots, m_limit + (growsSlowly ? 1 / m_limit : 1));
}

std::uint32_t ConcurrencyLimit::answeredLevel(MonotonicTime now) const
{
    return now - m_answeredAt <= s_answeredLevelLifetime ? m_answeredLevel : 0;
}

void ConcurrencyLimit::onRefused(std::uint32_t inFlight, MonotonicTime now)
{
    // A server that recently answered with as many concurrent calls refuses this one for a reason other than load.
    if (inFlight <= answeredLevel(now))
        return;
    if (m_refusedBefore && now - m_decreasedAt < s_refusalBurst)
        return;
    m_refusedBefore = true;
    m_decreasedAt = now;
    m_limit = std::max(1.0, m_limit * s_decreaseFactor);
}

std::uint32_t ConcurrencyLimit::value() const { return static_cast<std::uint32_t>(m_limit); }

}
