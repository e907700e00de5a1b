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

void ConcurrencyLimit::onAnswered(std::uint32_t inFlight, bool wasUsed, MonotonicTime now)
{
    if (inFlight >= answeredLevel(now)) {
        m_answeredLevel = inFlight;
        m_answeredAt = now;
    }
    if (!wasUsed)
        return;
    const bool slow = m_cold || m_refusedBefore;
    m_limit = std::min<double>(m_slots, m_limit + (slow ? 1 / m_limit : 1));
}

std::uint32_t ConcurrencyLimit::answeredLevel(MonotonicTime now) const
{
    return now - m_answeredAt <= s_answeredCounts ? m_answeredLevel : 0;
}

void ConcurrencyLimit::onRefused(std::uint32_t inFlight, MonotonicTime now)
{
    // A server that answers as many calls at a time refuses this one for another reason than load.
    if (inFlight <= answeredLevel(now))
        return;
    if (m_refusedBefore && now - m_decreasedAt < s_burst)
        return;
    m_refusedBefore = true;
    m_decreasedAt = now;
    m_limit = std::max(1.0, m_limit * s_decrease);
}

std::uint32_t ConcurrencyLimit::value() const { return static_cast<std::uint32_t>(m_limit); }

}
