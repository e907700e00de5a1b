#pragma once

/// \file
/// Types of the admitting node. That node runs on the instance of the upstream, and it alone dispatches calls to the
/// upstream's slots.

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/publication/Objects.h"
#include "carobpath/routing/Outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace carobpath::routing {

/// A call that another node forwarded to this one.
struct AdmissionRequest {
    RequestId id;
    RouteName route;
    /// Service of the upstream, as the entry node knows it. A node whose upstream has another service refuses the
    /// call.
    ServiceName service;
    VersionName version;
    publication::Repeatability repeatability = publication::Repeatability::NotRepeatable;
    publication::TrafficClass trafficClass = publication::TrafficClass::Short;
    MonotonicTime deadline;
    /// Time after which an answer is less useful to the caller; unset where the route configures no objective.
    std::optional<MonotonicTime> objective;
    /// Rank among the calls of the service; calls of rank 0 are served first.
    std::uint32_t priority = 0;
    /// Whether the call may be queued here although its answer may miss the objective. The entry node sets this when
    /// no other node is expected to serve the call sooner.
    bool mayBeLate = false;
    /// Whether a backend server makes this call while it runs another one.
    bool isInner = false;
    std::uint64_t fingerprint = 0;
    /// Calls per second that the backend server takes, as far as the entry node knows; empty if it knows of no limit. A node
    /// that has just started goes by it until the backend server's first answer.
    std::optional<double> knownCallsPerSecond;
    /// Number of requests that belong to one operation of the caller, such as the parts of a ranged download; 1 for a
    /// plain call. Each part is a separate request with its own connection; the width only affects the queue order.
    std::uint32_t width = 1;
};

/// Sends the call to the backend server. The call occupies one slot until \c onFinished.
struct Dispatch {
    RequestId id;
};

/// Refuses the call, which has not reached the backend server.
struct Reject {
    RequestId id;
    Refusal refusal;
};

/// The rate of calls that a backend server takes.
struct NamedRate {
    double callsPerSecond = 0;
    /// Time until the rate allows a call that is queued behind all others.
    std::chrono::milliseconds wait {};

    friend bool operator==(const NamedRate&, const NamedRate&) = default;
};

/// Load of an upstream, as its node reports it with each answer.
struct UpstreamLoad {
    /// Calls that are running at the backend server or waiting for it.
    std::uint32_t calls = 0;
    /// Maximum number of concurrent calls at the backend server.
    std::uint32_t limit = 0;
    /// Mean time that the backend server needs for a call; 0 before the first answer.
    std::chrono::microseconds serviceTime {};
    /// Empty if the backend server names no limit.
    std::optional<NamedRate> rate;

    friend bool operator==(const UpstreamLoad&, const UpstreamLoad&) = default;
};

using AdmissionCommand = std::variant<Dispatch, Reject>;
using AdmissionCommands = std::vector<AdmissionCommand>;

/// Result of a dispatched call.
enum class BackendResult : std::uint8_t {
    /// The backend server sent a complete answer that is not a server error.
    Answered,
    /// The backend server sent a complete answer with status 5xx.
    ServerError,
    /// The backend server refused the call with a typed refusal, since it sheds load or drains. The call did not run.
    Refused,
    /// The connection could not be established; no byte was sent.
    ConnectFailed,
    /// The connection was closed or reset after a byte had been sent.
    ConnectionLost,
    TimedOut,
    /// The caller disconnected.
    Cancelled,
};

/// \returns the name used in logs and metrics, such as "connection-lost".
std::string_view toString(BackendResult);

/// Reports that a dispatched call has finished.
struct AdmissionResult {
    RequestId id;
    BackendResult result = BackendResult::Answered;
    std::chrono::nanoseconds serviceTime {};
    /// Size of the answer's body; 0 if there was none.
    std::uint64_t bodyBytes = 0;
    /// Part of the service time after the answer's header had been received.
    std::chrono::nanoseconds bodyTime {};
};

}
