#pragma once

#include "carobpath/capacity/DecayingShare.h"
#include "carobpath/capacity/InnerRoutes.h"
#include "carobpath/capacity/ParentLimit.h"
#include "carobpath/capacity/ReturnSchedule.h"
#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace carobpath::capacity {

/// How an inner call ended, as its entry node knows it.
enum class InnerCallEnd : std::uint8_t {
    Answered,
    /// It was refused for want of room, or found none within its time.
    Denied,
    /// It failed for another reason than want of room, such as a backend server that refuses calls while its slots are free.
    Failed,
    /// It ended for another reason, such as a caller that left early.
    Other,
};

/// A call that asks to be run at the local backend server.
struct ParentCall {
    RouteName route;
    std::uint32_t rank = 0;
    MonotonicTime deadline;
};

/// Refuses calls before they run at the local backend server whose inner calls would find no room.
///
/// The backend server makes its inner calls through this node, so the node sees their ends. It does not see to which running
/// call an inner call belongs: a call that failed, and while which an inner call was denied, counts as wasted for the part of the recent
/// inner calls without an answer that were denied.
class InnerCalls {
public:
    /// Time after the last wasted call of a route after which its limit is forgotten.
    static constexpr std::chrono::seconds s_limitMemory { 60 };

    /// A call entered this node that may be one of the local backend server. \returns whether it is taken for one.
    bool onEntered(const RouteName&);
    /// A call that was taken for one of the local backend server has ended.
    void onEnded(InnerCallEnd, MonotonicTime now);

    /// \returns when a refused call may be tried again; empty if the call may run.
    std::optional<std::chrono::milliseconds> refusedFor(const ParentCall&, MonotonicTime now);
    /// A call that was let pass is not going to run.
    void onNotRun(const RouteName&);
    void onDispatched() { ++m_running; }
    /// \param hasFailed whether the backend server answered with a server error, or not in time.
    /// \returns whether it failed since an inner call was denied.
    bool onFinished(const RouteName&, MonotonicTime dispatchedAt, bool hasFailed, MonotonicTime now);

    /// \returns whether an inner call was denied since then.
    bool hasDeniedSince(MonotonicTime time) const { return m_lastDeniedAt >= time; }
    /// \returns the bound on the calls per second of the route; empty if there is none.
    std::optional<double> callsPerSecond(const RouteName&, MonotonicTime now) const;

private:
    struct Limited {
        ParentLimit limit;
        ReturnSchedule returns;
    };

    static constexpr std::chrono::duration<double> s_averagingTime { 0.3 };

    InnerRoutes m_routes;
    DecayingShare m_denied { s_averagingTime };
    /// Part of the inner calls without an answer that were denied.
    DecayingShare m_deniedOfUnanswered { s_averagingTime };
    MonotonicTime m_lastDeniedAt {};
    std::uint32_t m_running = 0;
    /// Routes of which calls were wasted lately.
    std::unordered_map<RouteName, Limited> m_limits;
};

}
