#pragma once

#include "carobpath/routing/Admission.h"
#include "carobpath/routing/CrashReport.h"
#include "carobpath/routing/ServiceTimes.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace carobpath::routing {

/// A call that is running at the backend server.
struct RunningCall {
    AdmissionRequest request;
    MonotonicTime dispatchedAt;
};

/// The calls that are running at the backend server. Each occupies a slot and a connection.
class RunningCalls {
public:
    void add(RunningCall);
    /// Removes the call. \returns the call; empty if it is not running.
    std::optional<RunningCall> remove(const RequestId&);

    std::uint32_t size() const { return static_cast<std::uint32_t>(m_calls.size()); }
    std::uint32_t downloads() const { return m_downloads; }
    std::uint32_t innerCalls() const { return m_innerCalls; }
    std::vector<Fingerprint> fingerprints() const;
    bool anyOf(const std::function<bool(const AdmissionRequest&)>&) const;

    /// Expected remaining time of a call that has exceeded the mean time of its class, as a fraction of that mean.
    static constexpr double s_overdueRemainder = 0.25;

    /// \returns the expected remaining times of the calls, based on the mean times of their classes.
    std::vector<std::chrono::nanoseconds> remainingTimes(const ServiceTimes&, MonotonicTime now) const;
    /// \returns the expected remaining times of the calls of one class.
    std::vector<std::chrono::nanoseconds> remainingTimes(const ServiceTimes&, MonotonicTime now, QueueClass) const;
    /// \returns the sum of the expected remaining times.
    std::chrono::nanoseconds remainingWork(const ServiceTimes&, MonotonicTime now) const;

private:
    static std::chrono::nanoseconds remainingTime(const RunningCall&, const ServiceTimes&, MonotonicTime now);

    std::unordered_map<RequestId, RunningCall> m_calls;
    std::uint32_t m_downloads = 0;
    std::uint32_t m_innerCalls = 0;
};

}
