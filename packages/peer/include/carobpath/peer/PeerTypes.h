#pragma once

#include "carobpath/distribution/PeerMessage.h"
#include "carobpath/peer/PeerError.h"
#include "carobpath/routing/LedgerVerdict.h"

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

/// Gives a claimed key back, since its call did not run.
struct ReleaseRequest {
    IdempotencyKey key;
    RequestId requestId;
};

/// How the end of a call to a peer is reported: exactly one of the two is called, once.
template <typename Answer>
struct Completion {
    std::function<void(Answer)> done;
    std::function<void(PeerError)> failed;
};

/// How a claim's verdict is reported by the node that decides it.
using ClaimReply = std::function<void(routing::LedgerVerdict)>;

}
