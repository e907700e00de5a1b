#pragma once

#include "carobpath/foundation/Time.h"

#include <cstddef>

namespace carobpath::routing {

/// How many retries a node may send to the backend servers of one service.
struct RetryAllowance {
    /// Retries earned by one call.
    double perCall = 0.1;
    /// Retries earned by time alone, so that a node with few calls can retry too.
    double perSecond = 0.5;
    /// Most retries that can be saved up.
    double capacity = 10;

    friend bool operator==(const RetryAllowance&, const RetryAllowance&) = default;
};

/// What the whole fleet may send again to the backend servers of one service in any window of the given length: a part
/// of the calls, and a fixed number besides.
struct FleetRetryBound {
    double partOfCalls = 0;
    double slack = 0;
    std::chrono::milliseconds window {};
};

/// \returns one node's part of the bound. Half of what the calls allow is left to calls that repeated runs make.
RetryAllowance allowanceOf(const FleetRetryBound&, std::size_t nodes);

/// Bounds the retries of a node to a share of its calls, by a token bucket. A fixed count of tries multiplies the load
/// just when the backend servers can bear it least; a share cannot.
class RetryBudget {
public:
    explicit RetryBudget(const RetryAllowance& allowance = {})
        : m_allowance(allowance)
        , m_tokens(allowance.capacity)
    {
    }

    /// What is saved up beyond the new capacity is lost.
    void setAllowance(const RetryAllowance&);

    /// A new call arrived.
    void onCall(MonotonicTime now);

    /// \returns whether a retry may be sent; it is then spent.
    bool tryWithdraw(MonotonicTime now);

    double tokens() const { return m_tokens; }

private:
    void refill(MonotonicTime now);

    RetryAllowance m_allowance;
    double m_tokens;
    MonotonicTime m_refilledAt {};
};

}
