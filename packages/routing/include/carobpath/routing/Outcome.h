#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace carobpath::routing {

/// Whether a backend server ran the call. Carried in the response header \c Carobpath-Outcome.
enum class Outcome : std::uint8_t {
    /// A backend server gave a complete answer.
    Ran,
    /// No byte of the request reached a backend server, or the backend server refused the request explicitly.
    NotRun,
    /// A byte may have reached a backend server, and no complete answer was received.
    Unknown,
};

/// Why a node refused or abandoned a call. Carried in the response header \c Carobpath-Reason.
enum class RefusalReason : std::uint8_t {
    MalformedRequest,
    HeaderTooLarge,
    RequestTooLarge,
    UnknownHost,
    UnknownRoute,
    MethodNotAllowed,
    /// The route takes no call without an API key.
    MissingKey,
    /// No workspace holds the API key.
    UnknownKey,
    /// The workspace has used up its rate limit.
    QuotaExceeded,
    /// This node has no accepted configuration, or one below its version floor.
    NotReady,
    NoUpstream,
    /// The queue is full, or the wait would pass the deadline.
    Overloaded,
    /// The backend server takes no more calls per second, and the wait for its rate would be too long.
    RateLimited,
    Draining,
    DeadlineExceeded,
    RetryBudgetExhausted,
    /// The request was found to crash backend servers.
    Quarantined,
    /// Another call with the same idempotency key is running, or its result is not known.
    DuplicateInProgress,
    /// The idempotency key was used and its call ran or may have run.
    DuplicateRan,
    /// The key could not be claimed because its owner or the log is unavailable.
    IdempotencyUnavailable,
    UpstreamUnreachable,
    UpstreamConnectionLost,
    UpstreamTimeout,
    UpstreamRefused,
    Cancelled,
};

/// The final answer of a node to a call that no backend server answered.
struct Refusal {
    Outcome outcome = Outcome::NotRun;
    RefusalReason reason = RefusalReason::NoUpstream;
    /// Delay after which the caller may retry; empty if a retry does not help.
    std::optional<std::chrono::milliseconds> retryAfter;

    friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// \returns the text used in headers and logs: "ran", "not-run", "unknown".
std::string_view toString(Outcome);
std::optional<Outcome> outcomeFromString(std::string_view text);

/// \returns the text used in headers and logs, such as "unknown-route".
std::string_view toString(RefusalReason);
std::optional<RefusalReason> refusalReasonFromString(std::string_view text);

/// \returns whether a call that ends so found no backend server with room for it in its time. A backend server that refuses a call
/// which its node let into a slot does so for a reason of its own.
bool isWantOfRoom(RefusalReason);

/// \returns the HTTP status of a refusal, such as 404 for an unknown route and 503 for no upstream.
unsigned httpStatus(RefusalReason);

}
