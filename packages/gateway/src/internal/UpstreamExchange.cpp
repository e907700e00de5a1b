#include "internal/UpstreamExchange.h"

#include "internal/SocketOptions.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace carobpath::gateway::Detail {

namespace {

    /// \returns whether the number is a status of HTTP (RFC 9110, section 15).
    bool isStatus(unsigned number)
    {
        constexpr unsigned firstStatus = 100;
        constexpr unsigned lastStatus = 599;
        return number >= firstStatus && number <= lastStatus;
    }

    bool isInterim(const ResponseHeader& header)
    {
        return header.result_int() >= 100 && header.result_int() < 200;
    }

    constexpr unsigned firstErrorStatus = 400;

    /// Part of the other end's idle time after which a connection is not used again, so that it is not closed meanwhile.
    constexpr double usableIdlePart = 0.8;

    /// \returns the time that the connection may stand unused, from "Keep-Alive: timeout=SECONDS"; empty where the
    /// other end does not say.
    std::optional<std::chrono::milliseconds> idleLimitOf(const ResponseHeader& header)
    {
        constexpr std::string_view key = "timeout=";
        const std::string_view text = header[http::field::keep_alive];
        const auto at = text.find(key);
        if (at == std::string_view::npos)
            return std::nullopt;
        const auto digits = text.substr(at + key.size());
        std::int64_t seconds = 0;
        if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc {})
            return std::nullopt;
        constexpr std::int64_t longest = 3600;
        const auto milliseconds = usableIdlePart * 1000 * static_cast<double>(std::min(seconds, longest));
        return std::chrono::milliseconds { static_cast<std::int64_t>(milliseconds) };
    }

}

UpstreamExchange::UpstreamExchange(ConnectionPool& pool, const GatewayLimits& limits)
    : m_pool(pool)
    , m_limits(limits)
{
}

void UpstreamExchange::start(ExchangeTarget target, std::shared_ptr<const Request> request, HeaderHandler onHeader)
{
    m_target = std::move(target);
    m_request = std::move(request);
    m_onHeader = std::move(onHeader);
    if (!m_target.fresh)
        m_connection = m_pool.take(m_target.endpoint, m_target.requestId, MonotonicClock::now());
    if (m_connection)
        write();
    else
        connect();
}

void UpstreamExchange::connect()
{
    const auto endpoint = toTcp(m_target.endpoint);
    m_connection = m_pool.make();
    if (!endpoint) {
        fail(ExchangeFailure::ConnectFailed);
        return;
    }
    const auto now = MonotonicClock::now();
    m_connection->madeAt = now;
    m_connection->stream.expires_at(std::min(now + m_limits.connectTimeout, m_target.headerDeadline));
    m_connection->stream.async_connect(*endpoint, [self = shared_from_this()](boost::system::error_code ec) {
        if (self->m_cancelled || ec) {
            self->fail(self->m_cancelled ? ExchangeFailure::Cancelled : ExchangeFailure::ConnectFailed);
            return;
        }
        setConnectionOptions(self->m_connection->stream.socket());
        self->write();
    });
}

void UpstreamExchange::write()
{
    m_connection->stream.expires_at(m_target.headerDeadline);
    awaitSign();
    http::async_write(m_connection->stream, *m_request, [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        if (ec) {
            self->fail(self->failureOf(ec));
            return;
        }
        self->readHeader();
    });
}

void UpstreamExchange::awaitSign()
{
    if (!m_target.silence)
        return;
    if (!m_silenceTimer)
        m_silenceTimer.emplace(m_connection->stream.get_executor());
    m_silenceTimer->expires_after(*m_target.silence);
    m_silenceTimer->async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec)
            self->onSilence();
    });
}

void UpstreamExchange::onSilence()
{
    // This process may not have run itself: bytes that are here already are read before silence is told.
    boost::asio::post(m_connection->stream.get_executor(), [self = shared_from_this(), bytes = m_connection->buffer.size()] {
        self->endUnlessAlive(bytes);
    });
}

void UpstreamExchange::endUnlessAlive(std::size_t bytesBefore)
{
    if (!m_onHeader || !m_limits.endsSilentCalls)
        return;
    boost::system::error_code ec;
    const bool hasMore = m_connection->stream.socket().available(ec) > 0 || m_connection->buffer.size() != bytesBefore;
    if (hasMore) {
        awaitSign();
        return;
    }
    m_wentSilent = true;
    m_connection->stream.close();
}

void UpstreamExchange::resetParser()
{
    m_parser.emplace();
    m_parser->header_limit(m_limits.headerBytes);
    m_parser->body_limit(boost::none);
    if (m_request->method() == http::verb::head)
        m_parser->skip(true);
}

void UpstreamExchange::readHeader()
{
    resetParser();
    http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser,
        [self = shared_from_this()](boost::system::error_code ec, std::size_t) { self->onHeader(ec); });
}

void UpstreamExchange::onHeader(boost::system::error_code ec)
{
    if (ec || m_wentSilent) {
        fail(failureOf(ec));
        return;
    }
    if (!isStatus(header().result_int())) {
        fail(ExchangeFailure::Mismatched);
        return;
    }
    if (isInterim(header())) {
        // Bytes that come without a pause complete each read before the stream's own timer is looked at.
        if (MonotonicClock::now() >= m_target.headerDeadline) {
            fail(ExchangeFailure::TimedOut);
            return;
        }
        awaitSign();
        readHeader();
        return;
    }
    if (!answersRequest()) {
        if (isStale())
            skipStale(0);
        else
            fail(ExchangeFailure::Mismatched);
        return;
    }
    if (m_silenceTimer)
        m_silenceTimer->cancel();
    if (!m_parser->is_done())
        makeRoomForBody();
    auto handler = std::exchange(m_onHeader, nullptr);
    handler(std::nullopt);
}

void UpstreamExchange::makeRoomForBody()
{
    const auto left = m_parser->content_length_remaining();
    const auto unread = left ? *left - std::min<std::uint64_t>(*left, m_connection->buffer.size()) : GatewayLimits::s_pieceBytes;
    if (unread > Connection::s_shortAnswerBytes)
        m_connection->makeRoomForBody(GatewayLimits::s_pieceBytes);
}

void UpstreamExchange::preparePiece()
{
    const auto wanted = std::clamp<std::uint64_t>(contentLength().value_or(GatewayLimits::s_pieceBytes), 1, GatewayLimits::s_pieceBytes);
    if (m_piece.size() < wanted)
        m_piece.resize(wanted);
    auto& body = m_parser->get().body();
    body.data = m_piece.data();
    body.size = m_piece.size();
}

bool UpstreamExchange::answersRequest() const
{
    const auto it = header().find(m_target.requestIdField);
    return it == header().end() || it->value() == m_target.requestId.value();
}

bool UpstreamExchange::isStale() const
{
    return m_connection->reused && !m_skippedStale && m_parser->keep_alive();
}

void UpstreamExchange::skipStale(std::uint64_t read)
{
    m_skippedStale = true;
    if (m_parser->is_done()) {
        readHeader();
        return;
    }
    preparePiece();
    http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser,
        [self = shared_from_this(), read](boost::system::error_code ec, std::size_t) {
            const auto total = read + self->m_piece.size() - self->m_parser->get().body().size;
            if ((ec && ec != http::error::need_buffer) || self->m_wentSilent || total > s_staleBytes)
                self->fail(self->m_cancelled ? ExchangeFailure::Cancelled : ExchangeFailure::Mismatched);
            else
                self->skipStale(total);
        });
}

bool UpstreamExchange::isEndless() const
{
    return !m_parser->content_length() && MonotonicClock::now() > m_target.headerDeadline + m_limits.openBodyTime;
}

std::optional<std::uint64_t> UpstreamExchange::contentLength() const
{
    const auto length = m_parser->content_length();
    if (!length)
        return std::nullopt;
    return *length;
}

void UpstreamExchange::readBody(BodyHandler handler)
{
    if (m_parser->is_done()) {
        finish();
        handler(std::nullopt, {});
        return;
    }
    if (isEndless()) {
        fail(ExchangeFailure::ConnectionLost);
        handler(ExchangeFailure::ConnectionLost, {});
        return;
    }
    preparePiece();
    m_connection->stream.expires_after(m_limits.bodyProgress);
    http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser,
        [self = shared_from_this(), handler = std::move(handler)](boost::system::error_code ec, std::size_t) {
            if (ec == http::error::need_buffer)
                ec = {};
            if (ec) {
                const auto failure = self->failureOf(ec);
                self->fail(failure);
                handler(failure, {});
                return;
            }
            const std::size_t n = self->m_piece.size() - self->m_parser->get().body().size;
            if (n == 0) {
                self->readBody(handler);
                return;
            }
            self->m_bodyBytes += n;
            handler(std::nullopt, std::string_view { self->m_piece.data(), n });
        });
}

void UpstreamExchange::discard()
{
    discardNext(0);
}

void UpstreamExchange::discardNext(std::uint64_t read)
{
    if (read > s_discardBytes) {
        cancel();
        return;
    }
    readBody([self = shared_from_this(), read](std::optional<ExchangeFailure> failure, std::string_view piece) {
        if (!failure && !piece.empty())
            self->discardNext(read + piece.size());
    });
}

void UpstreamExchange::finish()
{
    if (std::exchange(m_finished, true))
        return;
    if (m_parser->keep_alive() && !m_cancelled && !m_skippedStale) {
        m_connection->stream.expires_never();
        m_connection->idleLimit = idleLimitOf(header());
        if (header().result_int() >= firstErrorStatus)
            m_connection->answeredWithError.push_back(m_target.requestId);
        m_pool.give(m_target.endpoint, m_connection, MonotonicClock::now());
    } else {
        m_connection->stream.close();
    }
}

void UpstreamExchange::cancel()
{
    m_cancelled = true;
    if (m_connection && !m_finished)
        m_connection->stream.close();
}

ExchangeFailure UpstreamExchange::failureOf(boost::system::error_code ec) const
{
    if (m_cancelled)
        return ExchangeFailure::Cancelled;
    if (m_wentSilent)
        return ExchangeFailure::Silent;
    if (ec != boost::beast::error::timeout)
        return ExchangeFailure::ConnectionLost;
    const bool deadlinePassed = MonotonicClock::now() >= m_target.headerDeadline;
    return deadlinePassed ? ExchangeFailure::TimedOut : ExchangeFailure::Silent;
}

void UpstreamExchange::fail(ExchangeFailure failure)
{
    m_finished = true;
    if (m_silenceTimer)
        m_silenceTimer->cancel();
    m_failed = failure != ExchangeFailure::Cancelled;
    const bool wentQuiet = failure == ExchangeFailure::Silent || failure == ExchangeFailure::TimedOut;
    if (wentQuiet)
        m_pool.closeOlder(m_target.endpoint, m_connection->madeAt);
    m_connection->stream.close();
    if (auto handler = std::exchange(m_onHeader, nullptr))
        handler(failure);
}

}
