#include "carobpath/routing/RetryBudget.h"

#include <algorithm>

namespace carobpath::routing {

void RetryBudget::refill(MonotonicTime now)
{
    if (now <= m_refilledAt)
        return;
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_tokens = std::min(s_capacity, m_tokens + elapsed.count() * s_retriesPerSecond);
    m_refilledAt = now;
}

void RetryBudget::onCall(MonotonicTime now)
{
    refill(now);
    m_tokens = std::min(s_capacity, m_tokens + s_retriesPerCall);
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
