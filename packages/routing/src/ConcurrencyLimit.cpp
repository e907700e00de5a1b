#include "carobpath/routing/ConcurrencyLimit.h"

#include <algorithm>

namespace carobpath::routing {

void ConcurrencyLimit::restart(const membership::Upstream& upstream)
{
    update(upstream);
    m_limit = m_cold ? 1 : std::max(1U, m_slots / 2);
    m_refusedBefore = false;
    m_decreasedAt = {};
}

void ConcurrencyLimit::update(const membership::Upstream& upstream)
{
    m_slots = std::max(1U, upstream.slots);
    m_cold = upstream.state == membership::UpstreamState::Cold;
    m_limit = std::min<double>(m_limit, m_slots);
}

void ConcurrencyLimit::onAnswered(std::uint32_t inFlight)
{
    if (inFlight < value())
        return;
    const bool slow = m_cold || m_refusedBefore;
    m_limit = std::min<double>(m_slots, m_limit + (slow ? 1 / m_limit : 1));
}

void ConcurrencyLimit::onRefused(MonotonicTime now)
{
    if (m_refusedBefore && now - m_decreasedAt < s_burst)
        return;
    m_refusedBefore = true;
    m_decreasedAt = now;
    m_limit = std::max(1.0, m_limit * s_decrease);
}

std::uint32_t ConcurrencyLimit::value() const { return static_cast<std::uint32_t>(m_limit); }

}
