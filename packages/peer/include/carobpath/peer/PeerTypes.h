#pragma once

#include "carobpath/distribution/PeerMessage.h"
#include "carobpath/peer/PeerError.h"
#include "carobpath/quota/QuotaMessages.h"
#include "carobpath/routing/ClaimResult.h"
#include "carobpath/routing/Outcome.h"

#include <chrono>
#include <functional>

namespace carobpath::peer {

/// A claim of an idempotency key, forwarded to the owner of the key's partition.
struct ClaimRequest {
    IdempotencyKey key;
    RouteName route;
    RequestId requestId;
    /// Time that the caller still waits.
    std::chrono::milliseconds timeout {};
};

/// A call that had claimed a key has ended.
struct EndRequest {
    IdempotencyKey key;
    RouteName route;
    RequestId requestId;
    routing::Outcome outcome = routing::Outcome::Unknown;
};

/// The peer took in the news of crashes.
struct CrashesReported { };

/// The owner took note of the end.
struct ClaimEnded { };

/// How the end of a call to a peer is reported: exactly one of the two is called, once.
template <typename Answer>
struct Completion {
    std::function<void(Answer)> done;
    std::function<void(PeerError)> failed;
};

/// How a claim's verdict is reported by the node that decides it.
using ClaimReply = std::function<void(routing::ClaimResult)>;
using UsageReply = std::function<void(quota::QuotaGrants)>;

}
