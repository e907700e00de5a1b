#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <optional>

namespace carobpath::routing {

/// Token bucket that keeps the calls to a backend server within the rate that it takes. Without a rate, it allows every call.
class RateLimiter {
public:
    /// Tokens of this time are kept for a burst, and at least one.
    static constexpr std::chrono::milliseconds s_burstTime { 500 };
    /// Minimum rate in calls per second. Only an answer shows that a backend server takes more calls again, so that even one
    /// that takes none is called at times.
    static constexpr double s_minCallsPerSecond = 0.2;

    /// \param callsPerSecond empty if the rate is not limited. The first call is allowed one interval after a limit was set.
    void setRate(std::optional<double> callsPerSecond, MonotonicTime now);
    const std::optional<double>& callsPerSecond() const { return m_callsPerSecond; }

    bool allows(MonotonicTime now) const;
    void onCall(MonotonicTime now);
    /// \returns the time until a call is allowed if this many calls are sent before it; 0 if there is no limit.
    std::chrono::nanoseconds untilAllowed(std::size_t callsAhead, MonotonicTime now) const;

private:
    double effectiveRate() const;
    double tokens(MonotonicTime now) const;

    std::optional<double> m_callsPerSecond;
    /// Negative if calls were sent that the rate does not allow.
    double m_tokens = 0;
    MonotonicTime m_countedAt {};
};

}
