#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace carobpath::routing {

/// Whether the work of a call was done. Carried in the response header \c Carobpath-Outcome.
enum class Outcome : std::uint8_t {
    /// A backend server gave a whole answer.
    Ran,
    /// No byte of the request reached a backend server, or the backend server's own typed refusal says so.
    NotRun,
    /// A byte may have reached a backend server and no whole answer came back.
    Unknown,
};

/// Why a node refused or gave up on a call. Carried in the response header \c Carobpath-Reason.
enum class RefusalReason : std::uint8_t {
    MalformedRequest,
    HeaderTooLarge,
    RequestTooLarge,
    UnknownHost,
    UnknownRoute,
    MethodNotAllowed,
    /// This node has no accepted configuration, or one below its floor.
    NotReady,
    NoUpstream,
    /// The queue is full, or the wait would pass the deadline.
    Overloaded,
    Draining,
    DeadlineExceeded,
    RetryBudgetExhausted,
    /// The request was seen to crash backend servers.
    Quarantined,
    /// Another call with the same idempotency key is running, or its result is not known.
    DuplicateInProgress,
    /// The idempotency key was used and its call ran or may have run.
    DuplicateRan,
    /// The record of the key could not be made: its owner or the log is away.
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
    /// When the caller may come back; nothing where coming back does not help.
    std::optional<std::chrono::milliseconds> retryAfter;

    friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// \returns the text that stands in headers and logs: "ran", "not-run", "unknown".
std::string_view toString(Outcome);
std::optional<Outcome> outcomeFromString(std::string_view text);

/// \returns the text that stands in headers and logs, such as "unknown-route".
std::string_view toString(RefusalReason);
std::optional<RefusalReason> refusalReasonFromString(std::string_view text);

/// \returns the HTTP status of a refusal, such as 404 for an unknown route and 503 for no upstream.
unsigned httpStatus(RefusalReason);

}
