#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/gateway/GatewayLimits.h"
#include "carobpath/routing/Outcome.h"
#include "internal/HttpTypes.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

namespace carobpath::gateway::Detail {

/// A whole request, and when its first byte came.
struct ReadRequest {
    Request message;
    MonotonicTime arrivedAt;
};

/// A request that cannot be read. No byte after it can be read as a request.
struct UnreadableRequest {
    routing::RefusalReason reason = routing::RefusalReason::MalformedRequest;
    MonotonicTime arrivedAt;
};

using ReadResult = std::variant<ReadRequest, UnreadableRequest>;

/// Parses the byte stream of one connection into requests. Bytes that come behind a request are kept for the next one.
class RequestReader {
public:
    /// \param store counts the bodies; may be empty.
    explicit RequestReader(const GatewayLimits&, BodyStore::Pointer store = nullptr);

    /// \returns space for bytes of the connection, of which \c commit takes the first. It stays in place until then, whatever is parsed or
    /// freed in the meantime.
    boost::asio::mutable_buffer prepare();
    void commit(std::size_t n, MonotonicTime now);

    /// \returns the next request; empty until more bytes have come, and after an unreadable request.
    std::optional<ReadResult> next();

    /// Gives up the request that has not come whole; its bytes are freed. To be called where there is one. No other follows.
    UnreadableRequest giveUp(routing::RefusalReason);
    /// Frees all bytes; none are taken any more.
    void clear();

    /// Bytes that are held of the partial request and behind it, but for its body.
    std::uint64_t overheadBytes() const { return m_space.size() + m_buffer.capacity() + m_headerBytes; }
    /// \returns the bytes that the partial request holds.
    std::uint64_t heldBytes() const;
    /// When the partial request began, or last grew by so much that a caller who sends single bytes does not count.
    MonotonicTime progressAt() const { return m_progressAt; }

    /// True from the first byte of a request until \c next returned it.
    bool hasPartialRequest() const { return m_parser.has_value() || m_buffer.size() > 0; }
    /// Valid where there is a partial request.
    MonotonicTime partialRequestSince() const { return m_arrivals.front().at; }
    /// \returns whether as many bytes were read ahead as the limits allow.
    bool isFull() const { return m_buffer.size() >= m_limits.readAheadBytes; }

private:
    using Parser = http::request_parser<BlockBody>;

    /// Bytes of the connection up to \c end came at \c at or before.
    struct Arrival {
        std::uint64_t end = 0;
        MonotonicTime at;
    };

    /// Some callers send an empty line behind a body (RFC 9112, section 2.2).
    /// \returns whether the first bytes of a request are there.
    bool skipEmptyLines();
    void consume(std::size_t n);
    void parse(boost::system::error_code&);
    void forgetArrivals();
    void noteProgress(MonotonicTime now);
    void noteHeader();
    UnreadableRequest fail(boost::system::error_code);

    const GatewayLimits& m_limits;
    BodyStore::Pointer m_store;
    std::vector<char> m_space;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::deque<Arrival> m_arrivals;
    std::uint64_t m_received = 0;
    std::uint64_t m_parsed = 0;
    /// Estimate of the fields of the partial request; 0 until they are parsed.
    std::uint64_t m_headerBytes = 0;
    MonotonicTime m_progressAt;
    std::uint64_t m_progressMark = 0;
    bool m_failed = false;
};

}
