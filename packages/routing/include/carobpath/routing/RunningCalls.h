#pragma once

#include "carobpath/routing/Admission.h"
#include "carobpath/routing/CrashReport.h"
#include "carobpath/routing/ServiceTimes.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace carobpath::routing {

/// A call that is at the backend server.
struct RunningCall {
    AdmissionRequest request;
    MonotonicTime dispatchedAt;
};

/// The calls that are at the backend server now, each of which takes up a slot and a connection.
class RunningCalls {
public:
    void add(RunningCall);
    /// \returns the call, if it was there.
    std::optional<RunningCall> remove(const RequestId&);

    std::uint32_t size() const { return static_cast<std::uint32_t>(m_calls.size()); }
    std::uint32_t downloads() const { return m_downloads; }
    std::vector<Fingerprint> fingerprints() const;
    bool anyOf(const std::function<bool(const AdmissionRequest&)>&) const;

    /// Part of the mean time of its class that a call which has taken longer is expected to take still.
    static constexpr double s_overdueRest = 0.25;

    /// \returns the times that the calls still need, by the means of their classes.
    std::vector<std::chrono::nanoseconds> remainingTimes(const ServiceTimes&, MonotonicTime now) const;
    /// The same for the calls of one class.
    std::vector<std::chrono::nanoseconds> remainingTimes(const ServiceTimes&, MonotonicTime now, QueueClass) const;
    /// \returns their sum.
    std::chrono::nanoseconds remainingWork(const ServiceTimes&, MonotonicTime now) const;

private:
    static std::chrono::nanoseconds remainingTime(const RunningCall&, const ServiceTimes&, MonotonicTime now);

    std::unordered_map<RequestId, RunningCall> m_calls;
    std::uint32_t m_downloads = 0;
};

}
