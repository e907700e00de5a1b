#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Time.h"
#include "internal/ConnectionPool.h"
#include "internal/HttpTypes.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace carobpath::gateway::Detail {

/// How an exchange with another process failed.
enum class ExchangeFailure : std::uint8_t {
    /// No connection; no byte was sent.
    ConnectFailed,
    /// The connection broke, or the answer was cut short or made no sense.
    ConnectionLost,
    /// Nothing came for longer than the silence limit, while the deadline has not passed.
    Silent,
    /// The deadline passed.
    TimedOut,
    /// The answer names another request.
    Mismatched,
    Cancelled,
};

/// What one exchange needs to know besides the request.
struct ExchangeTarget {
    Endpoint endpoint;
    /// When the header of the answer must be there.
    MonotonicTime headerDeadline;
    /// Longest time without a byte before the header; nothing where only the deadline counts.
    std::optional<std::chrono::milliseconds> silence;
    /// An answer that names another request than this one is refused.
    RequestId requestId;
    /// True where an unused connection must not be taken.
    bool fresh = false;
};

/// One request and its answer on one connection. The connection goes back to the pool only after a complete answer
/// to the request; otherwise it is closed. Keeps itself alive while an operation runs.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange> {
public:
    /// Called once: with nothing when the header is there, else with the failure.
    using HeaderHandler = std::function<void(std::optional<ExchangeFailure>)>;
    /// Called for each piece of the body; an empty piece is the end.
    using BodyHandler = std::function<void(std::optional<ExchangeFailure>, std::string_view piece)>;

    UpstreamExchange(ConnectionPool&, const GatewayLimits&);

    void start(ExchangeTarget, std::shared_ptr<const Request>, HeaderHandler);

    /// Valid once the header handler was called without a failure.
    const ResponseHeader& header() const { return m_parser->get().base(); }
    std::optional<std::uint64_t> contentLength() const;
    /// True where the answer has no body by its nature.
    bool bodyIsDone() const { return m_parser->is_done(); }

    /// Reads the next piece of the body; it stays valid until the next call.
    void readBody(BodyHandler);

    /// Gives up on the body; a short rest is read so that the connection can be used again.
    void discard();

    /// Closes the connection; a handler that waits is called with \c Cancelled.
    void cancel();

    /// True where the other end broke the exchange off, false where it was complete or cancelled.
    bool failed() const { return m_failed; }

private:
    static constexpr std::size_t s_pieceBytes = 16ULL * 1024;
    static constexpr std::uint64_t s_discardBytes = 4ULL * 1024;

    using Parser = http::response_parser<http::buffer_body>;

    void connect();
    void write();
    void readHeader();
    void onHeader(boost::system::error_code);
    bool answersRequest() const;
    void setHeaderExpiry();
    ExchangeFailure failureOf(boost::system::error_code) const;
    void fail(ExchangeFailure);
    void discardNext(std::uint64_t read);
    void finish();
    void resetParser();

    ConnectionPool& m_pool;
    const GatewayLimits& m_limits;
    ExchangeTarget m_target;
    std::shared_ptr<const Request> m_request;
    HeaderHandler m_onHeader;
    ConnectionPointer m_connection;
    std::optional<Parser> m_parser;
    std::array<char, s_pieceBytes> m_piece {};
    bool m_cancelled = false;
    bool m_finished = false;
    bool m_failed = false;
};

}
