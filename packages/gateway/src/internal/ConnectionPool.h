#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/gateway/GatewayLimits.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace carobpath::gateway::Detail {

/// A connection to another node or to the backend server, with the bytes read ahead on it.
struct Connection {
    Connection(boost::asio::io_context& context, const GatewayLimits& limits)
        : stream(context)
        , buffer(limits.headerBytes + s_readBytes)
    {
        buffer.reserve(s_shortAnswerBytes);
    }

    /// Makes each read of a long body as large as its pieces.
    /// \param pieceBytes at most \c s_readBytes.
    void makeRoomForBody(std::size_t pieceBytes) { buffer.reserve(pieceBytes); }
    /// Frees what a long body needed; to be called where no byte is left in the buffer.
    void shrinkBuffer();

    /// Most bytes of one read from the connection.
    static constexpr std::size_t s_readBytes = 64ULL * 1024;
    /// Room for a short answer with its header, so that one read gets both. Beast reads as much at a time as the buffer has room for.
    static constexpr std::size_t s_shortAnswerBytes = 4ULL * 1024;
    /// Answers with an error after which a connection is closed, since no more of them are remembered.
    static constexpr std::size_t s_mostErrors = 32;

    boost::beast::tcp_stream stream;
    /// Bounded, since a header, a trailer or the header of a chunk stays in it until it is complete.
    boost::beast::flat_buffer buffer;
    MonotonicTime madeAt;
    MonotonicTime usedAt;
    /// Time that the other end lets it stand unused; empty where it did not say.
    std::optional<std::chrono::milliseconds> idleLimit;
    /// True once an exchange was completed on it.
    bool reused = false;
    /// Requests that were answered with an error on it. A second copy of that answer could pass for the answer to a retry.
    std::vector<RequestId> answeredWithError;
};

using ConnectionPointer = std::shared_ptr<Connection>;

/// Unused connections by address; the one used last is taken first.
class ConnectionPool {
public:
    ConnectionPool(boost::asio::io_context&, const GatewayLimits&);

    /// \returns an open connection whose other end has not closed it and which has not answered the request with an
    /// error; null if there is none.
    ConnectionPointer take(const Endpoint&, const RequestId&, MonotonicTime now);

    /// Keeps a connection after a complete, matched exchange.
    void give(const Endpoint&, ConnectionPointer, MonotonicTime now);

    /// Closes the unused connections to the address made up to the moment given: one of their kind fell silent.
    void closeOlder(const Endpoint&, MonotonicTime madeUpTo);

    /// Closes connections that stood unused too long.
    void expire(MonotonicTime now);

    ConnectionPointer make() const;
    std::size_t idleConnections() const;

private:
    struct Idle {
        std::vector<ConnectionPointer> connections;
        MonotonicTime suspectUpTo {};
    };

    std::chrono::milliseconds idleLimit(const Connection&) const;

    boost::asio::io_context& m_context;
    const GatewayLimits& m_limits;
    std::unordered_map<Endpoint, Idle> m_idle;
};

}
