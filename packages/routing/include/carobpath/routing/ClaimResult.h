#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace carobpath::routing {

/// Status of a call's claim on its idempotency key.
enum class ClaimStatus : std::uint8_t {
    /// The call holds the key and may run.
    Granted,
    /// Another call holds the key, and its outcome is not known.
    DuplicateInProgress,
    /// Another call held the key and ran.
    DuplicateRan,
    /// The claim could not be recorded, so the call does not hold the key.
    Unavailable,
};

/// Answer of the owner of a key's partition to one claim.
struct ClaimResult {
    ClaimStatus answer = ClaimStatus::Unavailable;
    std::optional<std::chrono::milliseconds> retryAfter;

    friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

}
