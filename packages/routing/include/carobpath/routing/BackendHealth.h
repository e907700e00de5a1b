#pragma once

#include "carobpath/publication/Objects.h"
#include "carobpath/routing/Admission.h"

#include <cstdint>

namespace carobpath::routing {

/// Detects whether the local backend server is down, from the results of dispatched calls. The health endpoint is only
/// a hint: it lowers the failure threshold and allows an earlier probe, but never changes the state by itself.
class BackendHealth {
public:
    /// Consecutive failed connections after which the server is considered down.
    static constexpr std::uint32_t s_downAfterConnectFailures = 2;
    /// Consecutive lost or timed-out calls after which the server is considered down.
    static constexpr std::uint32_t s_downAfterLostCalls = 4;
    /// Interval between calls that probe a server that is down.
    static constexpr std::chrono::milliseconds s_probeInterval { 500 };
    /// Time after which non-repeatable calls, too, may probe a server that lost calls.
    static constexpr std::chrono::milliseconds s_anyProbeAfter { 5000 };

    void restart();
    void onResult(BackendResult, MonotonicTime now);
    void onHealthHint(bool healthy, MonotonicTime now);

    bool isDown() const { return m_down; }
    /// \returns whether a call may probe a server that is down. If so, the call counts as the probe of this interval.
    bool tryProbe(publication::Repeatability, MonotonicTime now);

private:
    void countFailure(bool connected, MonotonicTime now);
    std::uint32_t threshold() const;

    std::uint32_t m_failuresInRow = 0;
    bool m_connectFailed = false;
    bool m_hintedUnhealthy = false;
    bool m_down = false;
    MonotonicTime m_downSince {};
    MonotonicTime m_nextProbe {};
};

}
