#pragma once

#include "carobpath/publication/Objects.h"
#include "carobpath/routing/Admission.h"

#include <cstdint>

namespace carobpath::routing {

/// Whether the backend server beside this node answers, judged by dispatched calls. The health endpoint is a hint:
/// it makes a failure count sooner and a trial come earlier, and decides nothing alone.
class BackendHealth {
public:
    /// Failed connections in a row after which the server is down.
    static constexpr std::uint32_t s_downAfterUnconnected = 2;
    /// Lost or timed-out calls in a row after which the server is down.
    static constexpr std::uint32_t s_downAfterLost = 4;
    /// Time between calls that try out a server that is down.
    static constexpr std::chrono::milliseconds s_trialInterval { 500 };
    /// Time after which also a call that may not be repeated tries out a server that lost calls.
    static constexpr std::chrono::milliseconds s_anyTrialAfter { 5000 };

    void restart();
    void onResult(BackendResult, MonotonicTime now);
    void onHealthHint(bool healthy, MonotonicTime now);

    bool isDown() const { return m_down; }
    /// \returns whether a call may try out a server that is down; the call is then taken as that trial.
    bool tryTrial(publication::Repeatability, MonotonicTime now);

private:
    void countFailure(bool connected, MonotonicTime now);
    std::uint32_t threshold() const;

    std::uint32_t m_failuresInRow = 0;
    bool m_unconnected = false;
    bool m_hintedUnhealthy = false;
    bool m_down = false;
    MonotonicTime m_downSince {};
    MonotonicTime m_nextTrial {};
};

}
