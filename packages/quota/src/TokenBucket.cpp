#include "carobpath/quota/TokenBucket.h"

#include <algorithm>
#include <chrono>

namespace carobpath::quota {

TokenBucket::TokenBucket(double tokensPerSecond, double capacity, double initialTokens, MonotonicTime now)
    : m_tokensPerSecond(tokensPerSecond)
    , m_capacity(capacity)
    , m_tokens(std::min(initialTokens, capacity))
    , m_at(now)
{
}

void TokenBucket::setRate(double tokensPerSecond, double capacity, MonotonicTime now)
{
    m_tokens = std::min(tokens(now), capacity);
    m_at = now;
    m_tokensPerSecond = tokensPerSecond;
    m_capacity = capacity;
}

double TokenBucket::tokens(MonotonicTime now) const
{
    const std::chrono::duration<double> time = std::max(now - m_at, MonotonicClock::duration {});
    return std::min(m_capacity, m_tokens + m_tokensPerSecond * time.count());
}

void TokenBucket::setTokens(double tokens, MonotonicTime now)
{
    m_tokens = std::min(m_capacity, tokens);
    m_at = now;
}

void TokenBucket::take(double count, MonotonicTime now) { setTokens(tokens(now) - count, now); }

bool TokenBucket::tryTake(MonotonicTime now)
{
    if (tokens(now) < 1)
        return false;
    take(1, now);
    return true;
}

}
