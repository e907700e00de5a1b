#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Time.h"
#include "internal/BodySource.h"
#include "internal/ConnectionPool.h"
#include "internal/HttpTypes.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace carobpath::gateway::Detail {

/// What one exchange needs to know besides the request.
struct ExchangeTarget {
    Endpoint endpoint;
    /// When the header of the answer must be there.
    MonotonicTime headerDeadline;
    /// Longest time without a byte before the header; empty where only the deadline counts.
    std::optional<std::chrono::milliseconds> silence;
    /// An answer that names another request than this one is refused.
    RequestId requestId;
    /// Field that names the request in the answer.
    std::string requestIdField { HeaderName::requestId };
    /// True where an unused connection must not be taken.
    bool fresh = false;
};

/// One request and its answer on one connection. The connection goes back to the pool only after a complete answer
/// to the request and no other; otherwise it is closed. Keeps itself alive while an operation runs.
class UpstreamExchange : public BodySource, public std::enable_shared_from_this<UpstreamExchange> {
public:
    /// Called once: with nothing when the header is there, else with the failure.
    using HeaderHandler = std::function<void(std::optional<ExchangeFailure>)>;

    UpstreamExchange(ConnectionPool&, const GatewayLimits&);

    void start(ExchangeTarget, std::shared_ptr<const Request>, HeaderHandler);

    /// Valid once the header handler was called without a failure.
    const ResponseHeader& header() const { return m_parser->get().base(); }

    /// Bytes of the body that were read so far.
    std::uint64_t bodyBytes() const { return m_bodyBytes; }

    std::optional<std::uint64_t> contentLength() const override;
    bool bodyIsDone() const override { return m_parser->is_done(); }
    bool hasBufferedBody() const override { return !m_parser->is_done() && m_connection->buffer.size() > 0; }
    void readBody(BodyHandler) override;
    void discard() override;
    void cancel() override;
    bool failed() const override { return m_failed; }

private:
    static constexpr std::uint64_t s_discardBytes = 4ULL * 1024;
    /// Size of a stale answer that is read for the sake of the one behind it.
    static constexpr std::uint64_t s_staleBytes = 64ULL * 1024;

    using Parser = http::response_parser<http::buffer_body>;

    void connect();
    void write();
    void readHeader();
    void onHeader(boost::system::error_code);
    void makeRoomForBody();
    /// Has the parser put the next bytes of the body into \c m_piece.
    void preparePiece();
    bool answersRequest() const;
    /// \returns whether the answer is a late copy of one to an earlier request on the connection, behind which the answer
    /// to this one may come.
    bool isStale() const;
    /// Reads the rest of a stale answer, then the next header.
    void skipStale(std::uint64_t read);
    /// \returns whether a body without a stated length has gone on for longer than the limits allow.
    bool isEndless() const;
    /// Starts the time anew within which the other end must show a sign of life.
    void awaitSign();
    void onSilence();
    /// \param bytesBefore bytes that were read and not dealt with when the time was over.
    void endUnlessAlive(std::size_t bytesBefore);
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
    /// Made where silence may end the exchange.
    std::optional<boost::asio::steady_timer> m_silenceTimer;
    std::optional<Parser> m_parser;
    /// Room for the next piece of the body, as much as its length asks for; empty before one is read.
    std::vector<char> m_piece;
    std::uint64_t m_bodyBytes = 0;
    bool m_skippedStale = false;
    bool m_cancelled = false;
    bool m_wentSilent = false;
    bool m_finished = false;
    bool m_failed = false;
};

}
