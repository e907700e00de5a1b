#include "carobpath/routing/RetryBudget.h"

#include <algorithm>

namespace carobpath::routing {

namespace {

    /// Fraction of the fleet's slack that nodes can save up. What this and \c earnedFraction leave is for nodes that
    /// restart with a full budget.
    constexpr double savedFraction = 0.4;
    /// Fraction of the fleet's slack that nodes earn within one window.
    constexpr double earnedFraction = 0.2;
    constexpr double nestedCallFraction = 0.5;

}

RetryAllowance allowanceOf(const FleetRetryBound& bound, std::size_t nodes)
{
    const double slack = bound.slack / static_cast<double>(std::max<std::size_t>(nodes, 1));
    const std::chrono::duration<double> window = bound.window;
    RetryAllowance it;
    it.perCall = bound.partOfCalls * (1 - nestedCallFraction);
    it.perSecond = window.count() > 0 ? slack * earnedFraction / window.count() : 0;
    it.capacity = std::max(1.0, slack * savedFraction);
    return it;
}

void RetryBudget::setAllowance(const RetryAllowance& allowance)
{
    m_allowance = allowance;
    m_tokens = std::min(m_tokens, allowance.capacity);
}

void RetryBudget::refill(MonotonicTime now)
{
    if (now <= m_refilledAt)
        return;
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_tokens = std::min(m_allowance.capacity, m_tokens + elapsed.count() * m_allowance.perSecond);
    m_refilledAt = now;
}

void RetryBudget::onCall(MonotonicTime now)
{
    refill(now);
    m_tokens = std::min(m_allowance.capacity, m_tokens + m_allowance.perCall);
}

bool RetryBudget::tryWithdraw(MonotonicTime now)
{
    refill(now);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

}
