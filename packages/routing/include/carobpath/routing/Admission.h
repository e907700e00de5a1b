#pragma once

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

/// The vocabulary of the admitting node: the one beside the upstream, which alone lets calls into its slots.
namespace carobpath::routing {

/// A call that another node forwarded to this one.
struct AdmissionRequest {
    RequestId id;
    RouteName route;
    /// What the entry node takes the upstream for; a node beside another one refuses.
    ServiceName service;
    VersionName version;
    publication::Repeatability repeatability = publication::Repeatability::NotRepeatable;
    publication::TrafficClass trafficClass = publication::TrafficClass::Short;
    MonotonicTime deadline;
    /// When an answer is of full use to the caller no more; nothing where the route names no such time.
    std::optional<MonotonicTime> objective;
    /// Rank among the calls of the service; 0 goes first.
    std::uint32_t priority = 0;
    /// Whether the call is to wait here though its answer may miss the objective: nowhere else is it taken sooner.
    bool mayBeLate = false;
    std::uint64_t fingerprint = 0;
    /// Number of requests that the caller's whole work spans, such as the parts of a ranged download; 1 for a plain
    /// call. Each part is a request of its own with one connection; the width only orders the queue.
    std::uint32_t width = 1;
};

/// Send the call to the backend server now; it holds one slot until \c onFinished.
struct Dispatch {
    RequestId id;
};

/// Answer the call at once; it never reached the backend server.
struct Reject {
    RequestId id;
    Refusal refusal;
};

/// How busy an upstream is, as its node tells with each answer.
struct UpstreamLoad {
    /// Calls at the backend server and calls that wait for it.
    std::uint32_t calls = 0;
    /// Calls that are let in at a time.
    std::uint32_t limit = 0;
    /// Mean time that the backend server works on a call; 0 before any was answered.
    std::chrono::microseconds serviceTime {};

    friend bool operator==(const UpstreamLoad&, const UpstreamLoad&) = default;
};

using AdmissionCommand = std::variant<Dispatch, Reject>;
using AdmissionCommands = std::vector<AdmissionCommand>;

/// How the backend server dealt with a dispatched call.
enum class BackendResult : std::uint8_t {
    /// A whole answer that is not an error of the server.
    Answered,
    /// A whole answer with status 5xx.
    ServerError,
    /// Its own typed refusal: shed or draining; the call did not run.
    Refused,
    /// The connection could not be made; no byte was sent.
    ConnectFailed,
    /// The connection ended or broke after a byte was sent.
    ConnectionLost,
    TimedOut,
    /// The caller went away.
    Cancelled,
};

/// \returns the text that stands in logs and metrics, such as "connection-lost".
std::string_view toString(BackendResult);

/// The end of a dispatched call.
struct AdmissionResult {
    RequestId id;
    BackendResult result = BackendResult::Answered;
    std::chrono::nanoseconds serviceTime {};
    /// Size of the answer's body; 0 where there was none.
    std::uint64_t bodyBytes = 0;
    /// Part of the service time that went by after the answer's header.
    std::chrono::nanoseconds bodyTime {};
};

}
