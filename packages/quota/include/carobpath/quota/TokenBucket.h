#pragma once

#include "carobpath/foundation/Time.h"

namespace carobpath::quota {

/// Tokens that come at a constant rate, up to a capacity. May be overdrawn.
class TokenBucket {
public:
    TokenBucket() = default;
    TokenBucket(double tokensPerSecond, double capacity, double initialTokens, MonotonicTime now);

    /// Tokens above a lowered capacity are lost.
    void setRate(double tokensPerSecond, double capacity, MonotonicTime now);
    void setTokens(double tokens, MonotonicTime now);
    double tokens(MonotonicTime now) const;
    double capacity() const { return m_capacity; }
    double tokensPerSecond() const { return m_tokensPerSecond; }

    /// \param count tokens to take; negative to give tokens back.
    void take(double count, MonotonicTime now);
    /// \returns whether there was a whole token, which is taken then.
    bool tryTake(MonotonicTime now);

private:
    double m_tokensPerSecond = 0;
    double m_capacity = 0;
    double m_tokens = 0;
    MonotonicTime m_at {};
};

}
