#pragma once

#include "carobpath/foundation/Time.h"

#include <cstddef>

namespace carobpath::routing {

/// Limit on the retries that a node may send to the backend servers of one service.
struct RetryAllowance {
    /// Retries earned per call.
    double perCall = 0.1;
    /// Retries earned per second regardless of calls, so that a node with few calls can retry too.
    double perSecond = 0.5;
    /// Maximum number of retries that can be saved up.
    double capacity = 10;

    friend bool operator==(const RetryAllowance&, const RetryAllowance&) = default;
};

/// Maximum number of retries that the whole fleet may send to the backend servers of one service in any window of the
/// given length: a fraction of the calls plus a fixed number.
struct FleetRetryBound {
    double partOfCalls = 0;
    double slack = 0;
    std::chrono::milliseconds window {};
};

/// \returns one node's part of the bound. Half of the fraction of the calls is left to nested calls that retried calls
/// make in turn.
RetryAllowance allowanceOf(const FleetRetryBound&, std::size_t nodes);

/// Limits the retries of a node to a share of its calls, by a token bucket. A fixed number of attempts per call would
/// multiply the load on backend servers that are already overloaded; a share of the calls does not.
class RetryBudget {
public:
    explicit RetryBudget(const RetryAllowance& allowance = {})
        : m_allowance(allowance)
        , m_tokens(allowance.capacity)
    {
    }

    /// Tokens beyond the new capacity are lost.
    void setAllowance(const RetryAllowance&);

    /// A new call arrived.
    void onCall(MonotonicTime now);

    /// \returns whether a retry may be sent; if so, its token is spent.
    bool tryWithdraw(MonotonicTime now);

    double tokens() const { return m_tokens; }

private:
    void refill(MonotonicTime now);

    RetryAllowance m_allowance;
    double m_tokens;
    MonotonicTime m_refilledAt {};
};

}
