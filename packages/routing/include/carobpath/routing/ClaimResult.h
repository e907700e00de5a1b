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
    /// The owner did not decide the claim, so the call must not run. The claim may be recorded all the same; it is
    /// then released.
    Unavailable,
};

/// Answer of the owner of a key's partition to one claim.
struct ClaimResult {
    ClaimStatus answer = ClaimStatus::Unavailable;
    std::optional<std::chrono::milliseconds> retryAfter;

    friend bool operator==(const ClaimResult&, const ClaimResult&) = default;
};

}
