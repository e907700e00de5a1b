#pragma once

/// \file
/// Commands and results exchanged between the entry decision and the sessions that carry bytes.

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/publication/Objects.h"
#include "carobpath/routing/Admission.h"
#include "carobpath/routing/ChoiceBasis.h"
#include "carobpath/routing/Outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace carobpath::routing {

/// A caller's call, as known to the entry node once its header has been read.
struct CallRequest {
    RequestId id;
    /// Host header without port, lower case.
    std::string host;
    std::string method;
    std::string path;
    std::optional<IdempotencyKey> idempotencyKey;
    /// Service of the backend server next to the entry node; empty if there is none.
    ServiceName callerService;
    /// Digest of the API key that the caller sent; empty if it sent none.
    std::optional<Digest> apiKey;
    /// Timeout that the caller sent with the call; it cannot exceed the route's timeout.
    std::optional<std::chrono::milliseconds> callerTimeout;
    /// Whether the call is the first one on its connection.
    bool isOnNewConnection = true;
    /// Hash of the method, the host, the path and the start of the body; identifies a request that is sent again.
    std::uint64_t fingerprint = 0;
    /// False if the body is too large to be buffered for a second attempt.
    bool bodyReplayable = true;
};

/// Send the request to the node next to an upstream.
struct SendAttempt {
    /// Number of the attempt within the call, starting at 1.
    std::uint32_t number = 1;
    /// Whether it is the first attempt of a caller that has not waited before.
    bool isFirstOfAll = false;
    NodeName node;
    Endpoint calls;
    ServiceName service;
    RouteName route;
    VersionName version;
    MonotonicTime deadline;
    /// Workspace of the caller; empty for an anonymous one.
    WorkspaceName workspace;
    /// See \c AdmissionRequest.
    std::optional<MonotonicTime> objective;
    std::uint32_t priority = 0;
    bool mayBeLate = false;
    bool isInner = false;
    std::optional<double> knownCallsPerSecond;
    /// Time without activity of the other node after which the attempt counts as lost; empty if only the deadline
    /// ends the attempt.
    std::optional<std::chrono::milliseconds> inactivityTimeout;
    publication::Repeatability repeatability = publication::Repeatability::NotRepeatable;
    publication::TrafficClass trafficClass = publication::TrafficClass::Short;
    ChoiceBasis basis;
    /// True if the attempt must not use a pooled connection, because a connection to this node became unresponsive.
    bool freshConnection = false;
};

/// Relay the answer of the running attempt to the caller.
struct RelayAnswer { };

/// Answer the caller at once with a refusal.
struct AnswerRefusal {
    Refusal refusal;
};

/// Wait for \c CallDecision::onClaimResult before anything is sent: the idempotency key has to be recorded first.
struct AwaitClaimResult {
    IdempotencyKey key;
    RouteName route;
    MonotonicTime deadline;
};

/// Wait for \c CallDecision::onQuotaVerdict before anything is sent: the workspace has a rate limit.
struct AwaitQuota {
    WorkspaceName workspace;
};

using CallCommand = std::variant<SendAttempt, RelayAnswer, AnswerRefusal, AwaitClaimResult, AwaitQuota>;

/// Result of one attempt, reported once the header of its answer has been read or the attempt has failed before.
struct AttemptResult {
    Outcome outcome = Outcome::Unknown;
    /// Set if the attempt was refused by the admitting node or failed on the connection itself.
    std::optional<RefusalReason> reason;
    /// HTTP status of the answer; 0 if there is none.
    unsigned status = 0;
    std::chrono::nanoseconds latency {};
    std::optional<std::chrono::milliseconds> retryAfter;
    /// Load of the upstream, if its node reported it.
    std::optional<UpstreamLoad> load;
};

}
