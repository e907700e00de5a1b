#pragma once

#include "carobpath/foundation/Time.h"

namespace carobpath::routing {

/// Bounds the retries of a node to a share of its calls, by a token bucket. A fixed count of tries multiplies the load
/// just when the backend servers can bear it least; a share cannot.
class RetryBudget {
public:
    /// Retries earned by one call.
    static constexpr double s_retriesPerCall = 0.1;
    /// Retries earned by time alone, so that a node with few calls can retry too.
    static constexpr double s_retriesPerSecond = 0.5;
    /// Most retries that can be saved up.
    static constexpr double s_capacity = 10;

    /// A new call arrived.
    void onCall(MonotonicTime now);

    /// \returns whether a retry may be sent; it is then spent.
    bool tryWithdraw(MonotonicTime now);

    double tokens() const { return m_tokens; }

private:
    void refill(MonotonicTime now);

    double m_tokens = s_capacity;
    MonotonicTime m_refilledAt {};
};

}
