#pragma once

#include "carobpath/routing/Outcome.h"

#include <functional>
#include <string>

namespace carobpath::gateway {

/// How callers and backend servers name things in HTTP. The default is carobpath's own interface, docs/INTERFACES.md;
/// a platform that speaks otherwise brings its own. Calls between nodes always use the default.
struct Dialect {
    /// Field with the id that the caller gave its call; empty where the node names calls itself.
    std::string callerRequestId;
    /// Field with the time that the caller waits, in milliseconds.
    std::string callerTimeout = "Carobpath-Timeout-Ms";
    /// Field with the caller's idempotency key; empty where callers have none.
    std::string idempotencyKey = "Idempotency-Key";
    /// Field with the API key of the caller's workspace; read and removed where the configuration has workspaces.
    std::string apiKey = "Carobpath-Api-Key";
    /// Field with the call's id, to the backend server and back.
    std::string backendRequestId = "Carobpath-Request-Id";
    /// Field with the time left, in milliseconds.
    std::string backendDeadline = "Carobpath-Deadline-Ms";
    /// Field with the instance that the request is meant for; empty where none is named.
    std::string backendInstance;
    /// Field with the service beside the entry node; empty where it is not told.
    std::string callerService;
    /// Field with the workspace of the caller, for the backend server.
    std::string workspace = "Carobpath-Workspace";
    /// Field by which a backend server says that it has not run the request; empty where only the outcome field does.
    std::string notExecuted;
    /// Field of an answer with the calls per second that the backend server takes from all nodes together.
    std::string backendRateLimit = "Carobpath-Calls-Per-Second";
    /// Field of an answer by which a backend server says that it is about to stop, with the value 1; empty where it only
    /// announces so.
    std::string backendLeaving;
    /// Whether Retry-After may have a fraction.
    bool fractionalRetryAfter = false;
    /// Status of a refusal.
    std::function<unsigned(const routing::Refusal&)> refusalStatus = [](const routing::Refusal& it) { return routing::httpStatus(it.reason); };
};

/// \returns the status by which a caller that reads nothing else learns whether it may send the call again: 503, or 429 beyond
/// a rate limit, for each call that has not run and may be tried again, 502 or 504 for one that may have run.
unsigned statusByOutcome(const routing::Refusal&);

}
