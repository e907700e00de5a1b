#include "internal/ServerSession.h"

#include "internal/BodyRelay.h"
#include "internal/SocketOptions.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <string>
#include <utility>

namespace carobpath::gateway::Detail {

namespace {

    constexpr std::size_t readBytes = 4096;

    Response interimResponse()
    {
        Response response { http::status::processing, 11 };
        return response;
    }

    std::string refusalBody(const routing::Refusal& refusal)
    {
        const nlohmann::json body {
            { "outcome", routing::toString(refusal.outcome) },
            { "reason", routing::toString(refusal.reason) },
        };
        return body.dump() + "\n";
    }

    /// \returns seconds, rounded up where the reader takes whole ones only.
    std::string retryAfterText(std::chrono::milliseconds time, bool fractional)
    {
        if (!fractional)
            return std::to_string(std::chrono::ceil<std::chrono::seconds>(time).count());
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(time).count());
        return text.data();
    }

    bool isTooLarge(boost::system::error_code ec)
    {
        return ec == http::error::header_limit || ec == http::error::body_limit || ec == http::error::buffer_overflow;
    }

    routing::RefusalReason refusalReason(boost::system::error_code ec)
    {
        if (ec == http::error::header_limit)
            return routing::RefusalReason::HeaderTooLarge;
        return isTooLarge(ec) ? routing::RefusalReason::RequestTooLarge : routing::RefusalReason::MalformedRequest;
    }

    bool isMalformed(boost::system::error_code ec)
    {
        return ec.category() == http::make_error_code(http::error::bad_method).category()
            && ec != http::error::end_of_stream && ec != http::error::partial_message;
    }

}

ServerSession::ServerSession(boost::asio::ip::tcp::socket&& socket, const GatewayLimits& limits, const Dialect& dialect, Handlers handlers)
    : m_stream(std::move(socket))
    , m_interimTimer(m_stream.get_executor())
    , m_limits(limits)
    , m_dialect(dialect)
    , m_handlers(std::move(handlers))
{
}

void ServerSession::start()
{
    setConnectionOptions(m_stream.socket());
    waitForRequest();
}

void ServerSession::waitForRequest()
{
    m_state = State::Idle;
    if (m_buffer.size() != 0) {
        readRequest();
        return;
    }
    if (m_closeWhenIdle) {
        close();
        return;
    }
    m_stream.expires_after(m_limits.callerIdle);
    m_stream.async_read_some(m_buffer.prepare(readBytes), [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
        if (ec) {
            self->close();
            return;
        }
        self->m_buffer.commit(n);
        self->readRequest();
    });
}

void ServerSession::readRequest()
{
    m_state = State::Reading;
    m_arrivedAt = MonotonicClock::now();
    m_parser.emplace();
    m_parser->header_limit(m_limits.headerBytes);
    m_parser->body_limit(m_limits.bodyBytes);
    m_stream.expires_after(m_limits.requestTimeout);
    http::async_read(m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](boost::system::error_code ec, std::size_t) { self->onRequest(ec); });
}

void ServerSession::onRequest(boost::system::error_code ec)
{
    if (ec) {
        refuseMalformed(ec);
        return;
    }
    m_state = State::Handling;
    m_requestKeepsAlive = request().keep_alive();
    m_stream.expires_never();
    watchForClose();
    m_handlers.onRequest(shared_from_this());
}

void ServerSession::refuseMalformed(boost::system::error_code ec)
{
    if (!isTooLarge(ec) && !isMalformed(ec)) {
        close();
        return;
    }
    m_state = State::Handling;
    m_requestKeepsAlive = false;
    const routing::Refusal refusal { routing::Outcome::NotRun, refusalReason(ec), std::nullopt };
    if (m_handlers.onUnreadable)
        m_handlers.onUnreadable(refusal, m_arrivedAt);
    refuse(refusal, {});
}

void ServerSession::watchForClose()
{
    if (std::exchange(m_watching, true))
        return;
    m_stream.socket().async_wait(boost::asio::socket_base::wait_read, [self = shared_from_this()](boost::system::error_code ec) {
        self->m_watching = false;
        if (ec || self->m_state != State::Handling || !isClosedByPeer(self->m_stream.socket()))
            return;
        if (auto gone = std::exchange(self->m_onGone, nullptr))
            gone();
    });
}

void ServerSession::onGone(std::function<void()> gone)
{
    m_onGone = std::move(gone);
}

void ServerSession::sendInterimAnswers()
{
    m_interimTimer.expires_after(m_limits.interimInterval);
    m_interimTimer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (ec || self->m_state != State::Handling)
            return;
        self->writeInterim();
    });
}

void ServerSession::writeInterim()
{
    m_writingInterim = true;
    auto interim = std::make_shared<Response>(interimResponse());
    m_stream.expires_after(m_limits.requestTimeout);
    http::async_write(m_stream, *interim, [self = shared_from_this(), interim](boost::system::error_code ec, std::size_t) {
        self->m_writingInterim = false;
        if (auto next = std::exchange(self->m_afterInterim, nullptr)) {
            next();
            return;
        }
        if (!ec && self->m_state == State::Handling)
            self->sendInterimAnswers();
    });
}

void ServerSession::beginAnswer()
{
    m_state = State::Answering;
    m_onGone = nullptr;
    m_interimTimer.cancel();
}

void ServerSession::respond(Response&& response, AnswerDone done)
{
    beginAnswer();
    m_response = std::make_shared<Response>(std::move(response));
    m_answerDone = std::move(done);
    m_response->version(11);
    m_response->keep_alive(m_requestKeepsAlive && !m_closeAnnounced);
    m_response->prepare_payload();
    if (m_writingInterim)
        m_afterInterim = [this] { writeWhole(); };
    else
        writeWhole();
}

void ServerSession::writeWhole()
{
    m_stream.expires_after(m_limits.callerIdle);
    http::async_write(m_stream, *m_response, [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        const bool keepAlive = self->m_response->keep_alive();
        self->m_response = nullptr;
        self->endAnswer(keepAlive, ec ? AnswerEnd::CutByReceiver : AnswerEnd::Whole);
    });
}

void ServerSession::refuse(const routing::Refusal& refusal, std::string_view requestId, AnswerDone done)
{
    Response response { static_cast<http::status>(m_dialect.refusalStatus(refusal)), 11 };
    response.set(http::field::content_type, "application/json");
    response.set(HeaderName::outcome, routing::toString(refusal.outcome));
    response.set(HeaderName::reason, routing::toString(refusal.reason));
    if (!requestId.empty())
        response.set(HeaderName::requestId, requestId);
    if (refusal.retryAfter) {
        response.set(http::field::retry_after, retryAfterText(*refusal.retryAfter, m_dialect.fractionalRetryAfter));
        response.set(HeaderName::retryAfterMs, std::to_string(refusal.retryAfter->count()));
    }
    response.body() = refusalBody(refusal);
    respond(std::move(response), std::move(done));
}

void ServerSession::relay(std::shared_ptr<BodySource> source, ResponseHeader header, AnswerDone done)
{
    beginAnswer();
    m_answerDone = std::move(done);
    RelayFraming framing;
    framing.mayChunk = request().version() >= 11;
    framing.headerOnly = request().method() == http::verb::head || source->bodyIsDone();
    const bool lengthIsKnown = framing.headerOnly || source->contentLength().has_value();
    framing.keepAlive = m_requestKeepsAlive && !m_closeAnnounced && (framing.mayChunk || lengthIsKnown);
    auto relay = std::make_shared<BodyRelay>(m_stream, m_limits, std::move(source));
    auto begin = [self = shared_from_this(), relay, framing, header = std::move(header)]() mutable {
        relay->start(std::move(header), framing, [self, keepAlive = framing.keepAlive](AnswerEnd end) { self->endAnswer(keepAlive, end); });
    };
    if (m_writingInterim)
        m_afterInterim = std::move(begin);
    else
        begin();
}

void ServerSession::endAnswer(bool keepAlive, AnswerEnd end)
{
    if (auto done = std::exchange(m_answerDone, nullptr))
        done(end);
    if (end == AnswerEnd::Whole && keepAlive)
        waitForRequest();
    else
        close();
}

void ServerSession::closeWhenIdle()
{
    m_closeAnnounced = true;
    m_closeWhenIdle = true;
    // A request may be here whose bytes were not dealt with yet, after this process was held up.
    boost::asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->closeUnlessAsked(); });
}

void ServerSession::closeUnlessAsked()
{
    boost::system::error_code ec;
    if (m_state == State::Idle && m_stream.socket().available(ec) == 0)
        close();
}

void ServerSession::close()
{
    m_state = State::Closed;
    m_onGone = nullptr;
    m_interimTimer.cancel();
    boost::system::error_code ec;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    m_stream.close();
}

}
