#include "carobpath/routing/RateLimiter.h"

#include <algorithm>

namespace carobpath::routing {

namespace {

    using Seconds = std::chrono::duration<double>;

}

double RateLimiter::effectiveRate() const { return std::max(*m_callsPerSecond, s_minCallsPerSecond); }

double RateLimiter::tokens(MonotonicTime now) const
{
    const double capacity = std::max(1.0, effectiveRate() * Seconds { s_burstTime }.count());
    return std::min(capacity, m_tokens + effectiveRate() * Seconds { now - m_countedAt }.count());
}

void RateLimiter::setRate(std::optional<double> callsPerSecond, MonotonicTime now)
{
    m_tokens = m_callsPerSecond ? tokens(now) : 0;
    m_countedAt = now;
    m_callsPerSecond = callsPerSecond;
}

bool RateLimiter::allows(MonotonicTime now) const { return !m_callsPerSecond || untilAllowed(0, now).count() == 0; }

void RateLimiter::onCall(MonotonicTime now)
{
    if (!m_callsPerSecond)
        return;
    m_tokens = tokens(now) - 1;
    m_countedAt = now;
}

std::chrono::nanoseconds RateLimiter::untilAllowed(std::size_t callsAhead, MonotonicTime now) const
{
    if (!m_callsPerSecond)
        return {};
    const double missing = static_cast<double>(callsAhead) + 1 - tokens(now);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds { std::max(0.0, missing) / effectiveRate() });
}

}
