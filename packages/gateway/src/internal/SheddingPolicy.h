#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace carobpath::gateway::Detail {

/// What a connection holds of a request that has not come whole.
struct UnfinishedUse {
    std::uint64_t bytes = 0;
    MonotonicTime progressAt;
};

/// What stands on a connection.
struct ConnectionUse {
    enum class Kind : std::uint8_t {
        /// No request.
        Idle,
        /// One that has not come whole.
        Unfinished,
        /// Requests that are handled, or an answer that is not out.
        Busy,
    };

    Kind kind = Kind::Busy;
    /// Since when it is idle, or its request made no progress.
    MonotonicTime since;
};

/// Decides which unfinished request or unused connection gives way where the limits of a process are used up.
class SheddingPolicy {
public:
    /// An unfinished request that has made no progress for as long has stalled.
    static constexpr std::chrono::seconds s_stall { 1 };
    /// Time for a caller to send a request on a connection that it has just made, or on which it has just read an answer.
    static constexpr std::chrono::milliseconds s_requestAllowance { 300 };

    /// \param heldBytes of all requests of the process.
    explicit SheddingPolicy(std::uint64_t heldBytes)
        : m_heldBytes(heldBytes)
    {
    }

    /// \returns how many bytes may be held while a request of this size goes on. A part is kept for small ones.
    std::uint64_t limitFor(std::uint64_t requestBytes) const;

    /// \returns which unfinished request gives way to one of this size: the large one without progress for the longest time, else such a small
    /// one; to a large request only a stalled one.
    static std::optional<std::size_t> victim(std::span<const UnfinishedUse>, std::uint64_t requestBytes, MonotonicTime now);

    /// \returns which connection is closed for a new one: that of the stalled request without progress for the longest time, else the one
    /// that is idle for the longest time.
    static std::optional<std::size_t> connectionToClose(std::span<const ConnectionUse>, MonotonicTime now);

private:
    static constexpr std::uint64_t s_smallRequestParts = 16;

    std::uint64_t m_heldBytes;
};

}
