#pragma once

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

/// The vocabulary between the entry decision and the sessions that carry bytes.
namespace carobpath::routing {

/// A caller's call as the entry node sees it once its header is read.
struct CallRequest {
    RequestId id;
    /// Host header without port, lower case.
    std::string host;
    std::string method;
    std::string path;
    std::optional<IdempotencyKey> idempotencyKey;
    /// Service of the backend server beside the entry node; empty where there is none.
    ServiceName callerService;
    /// Deadline that the caller sent with the call; the route's timeout bounds it.
    std::optional<std::chrono::milliseconds> callerTimeout;
    /// Hash of method, host, path and body start; tells a request that is sent again.
    std::uint64_t fingerprint = 0;
    /// False where the body is too large to be kept for a second attempt.
    bool bodyReplayable = true;
};

/// Send the request to the node beside an upstream.
struct SendAttempt {
    /// 1 for the first.
    std::uint32_t number = 1;
    NodeName node;
    Endpoint calls;
    ServiceName service;
    RouteName route;
    VersionName version;
    MonotonicTime deadline;
    /// See \c AdmissionRequest.
    std::optional<MonotonicTime> objective;
    std::uint32_t priority = 0;
    bool mayBeLate = false;
    /// Time without a sign of life of the other node after which the attempt counts as lost; nothing where its deadline
    /// alone ends it.
    std::optional<std::chrono::milliseconds> inactivityTimeout;
    publication::Repeatability repeatability = publication::Repeatability::NotRepeatable;
    publication::TrafficClass trafficClass = publication::TrafficClass::Short;
    ChoiceBasis basis;
    /// True where an attempt on a pooled connection is not wanted, since a connection to this node fell silent.
    bool freshConnection = false;
};

/// Pass the answer of the running attempt on to the caller.
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

using CallCommand = std::variant<SendAttempt, RelayAnswer, AnswerRefusal, AwaitClaimResult>;

/// What became of one attempt, reported once its answer's header is read or it failed before that.
struct AttemptResult {
    Outcome outcome = Outcome::Unknown;
    /// Set where the attempt ended in a refusal, by the admitting node or by the connection itself.
    std::optional<RefusalReason> reason;
    /// HTTP status of the answer; 0 where there is none.
    unsigned status = 0;
    std::chrono::nanoseconds latency {};
    std::optional<std::chrono::milliseconds> retryAfter;
    /// How busy the upstream is, where its node said so.
    std::optional<UpstreamLoad> load;
};

}
