#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace carobpath::routing {

/// What the record of an idempotency key says about a call that asked to run.
enum class ClaimStatus : std::uint8_t {
    /// The call holds the key and may run.
    Granted,
    /// Another call holds the key, and its end is not known.
    DuplicateInProgress,
    /// Another call held the key and ran.
    DuplicateRan,
    /// The record could not be made; the call did not get the key.
    Unavailable,
};

/// Answer of a key's partition owner to one call.
struct ClaimResult {
    ClaimStatus answer = ClaimStatus::Unavailable;
    std::optional<std::chrono::milliseconds> retryAfter;

    friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

}
