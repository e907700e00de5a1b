#include "carobpath/routing/CallThrottle.h"

#include <algorithm>

namespace carobpath::routing {

CallThrottle::Bucket& CallThrottle::refilled(const OfferClass& offers, MonotonicTime now)
{
    auto& bucket = m_byClass[offers];
    const std::chrono::duration<double> age = now - bucket.at;
    bucket.tokens = std::min(s_capacity, bucket.tokens + earnedPerSecond(offers) * age.count());
    bucket.at = now;
    return bucket;
}

bool CallThrottle::mayOffer(const OfferClass& offers, double draw, MonotonicTime now)
{
    return refilled(offers, now).tokens > 0 || draw < s_probePart;
}

void CallThrottle::onTaken(const OfferClass& offers, MonotonicTime now)
{
    auto& bucket = refilled(offers, now);
    bucket.tokens = std::min(s_capacity, bucket.tokens + s_earnedPerTaken);
}

void CallThrottle::onRefused(
    const OfferClass& offers, std::chrono::nanoseconds took, std::optional<std::chrono::milliseconds> retryAfter, MonotonicTime now)
{
    const std::chrono::duration<double> slow { s_slowRefusal };
    const double cost = std::clamp(took / slow, s_minCost, 1.0);
    auto& bucket = refilled(offers, now);
    bucket.tokens = std::max(-maxOwed(offers), bucket.tokens - cost);
    if (retryAfter)
        bucket.retryAfter = *retryAfter;
}

double CallThrottle::earnedPerSecond(const OfferClass& offers) const { return offers.isLate ? 0 : m_earnedPerSecond; }

double CallThrottle::maxOwed(const OfferClass& offers) const
{
    const std::chrono::duration<double> time { s_maxOwedTime };
    return std::max(s_minOwed, earnedPerSecond(offers) * time.count());
}

std::chrono::milliseconds CallThrottle::retryAfter(const OfferClass& offers) const
{
    const auto it = m_byClass.find(offers);
    return std::max(s_minRetryAfter, it == m_byClass.end() ? s_minRetryAfter : it->second.retryAfter);
}

}
