#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace carobpath::gateway {

/// Bounds of the HTTP sessions of a node. The defaults fit a node beside a backend server with a few slots.
struct GatewayLimits {
    /// Bytes of one read of an answer's body. Each read waits for a turn of the thread.
    static constexpr std::size_t s_pieceBytes = 16ULL * 1024;

    /// Header of one request or answer, in bytes.
    std::uint32_t headerBytes = 16U * 1024;
    /// Body of one request, in bytes. Bodies of requests are held whole; bodies of answers are streamed.
    std::uint64_t bodyBytes = 1024ULL * 1024;
    /// All requests of a process that are read or handled, in bytes.
    std::uint64_t heldBytes = 96ULL * 1024 * 1024;
    /// Requests of one connection that are read before the first of them is answered.
    std::uint32_t pipelinedRequests = 16;
    /// Bytes of one connection that are read behind those requests. Beyond it the connection is read no further.
    std::uint64_t readAheadBytes = 64ULL * 1024;
    /// Connections accepted at a time on one address.
    std::uint32_t connections = 4096;
    /// Time for the header and body of one request to arrive once its first byte is there.
    std::chrono::milliseconds requestTimeout { 10'000 };
    /// Time that a connection may stand between two requests. Longer than \c pooledIdle, so that a node never
    /// reuses a connection that the other side is about to close.
    std::chrono::milliseconds callerIdle { 60'000 };
    /// Time that a connection to another node or the backend server may stand unused.
    std::chrono::milliseconds pooledIdle { 10'000 };
    /// Unused connections kept for one address.
    std::uint32_t pooledConnections = 64;
    /// Time for a connection to be made.
    std::chrono::milliseconds connectTimeout { 1'000 };
    /// Time without a byte after which the body of an answer counts as lost.
    std::chrono::milliseconds bodyProgress { 5'000 };
    /// Time past a call's deadline after which the body of an answer without a stated length counts as endless.
    std::chrono::milliseconds openBodyTime { 10'000 };
    /// An admitting node that has no answer yet says so this often.
    std::chrono::milliseconds interimInterval { 200 };
    /// Bandwidth of the instance's network link; 0 if unknown, which leaves answers unpaced.
    double linkBytesPerSecond = 0;
    /// Whether silence of another node ends an attempt before its deadline. Not at a node that is stopping: another
    /// attempt may find no node any more, and the answer to the first may come yet.
    bool endsSilentCalls = true;
};

}
