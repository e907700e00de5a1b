#include "internal/ServerExchange.h"

#include "internal/ServerSession.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <string>
#include <utility>

namespace carobpath::gateway::Detail {

namespace {

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

}

ServerExchange::ServerExchange(std::shared_ptr<ServerSession> session, Request&& request, MonotonicTime arrivedAt, bool isFirstOnConnection)
    : m_session(std::move(session))
    , m_request(std::move(request))
    , m_arrivedAt(arrivedAt)
    , m_isFirstOnConnection(isFirstOnConnection)
{
}

void ServerExchange::onGone(std::function<void(AnswerEnd)> gone)
{
    m_onGone = std::move(gone);
}

void ServerExchange::onNodeEnding(std::function<void()> ending)
{
    m_onNodeEnding = std::move(ending);
}

bool ServerExchange::endIfGone()
{
    return m_state == State::Ended || m_session->endIfPeerClosed();
}

void ServerExchange::abandon()
{
    // A session that dropped this exchange may still write the answer before it.
    if (m_state != State::Ended)
        m_session->close();
}

void ServerExchange::respond(Response&& response, AnswerDone done)
{
    setAnswer({ std::make_shared<Response>(std::move(response)), nullptr, nullptr, {} }, std::move(done));
}

void ServerExchange::refuse(const routing::Refusal& refusal, std::string_view requestId, AnswerDone done)
{
    const auto& dialect = m_session->dialect();
    Response response { static_cast<http::status>(dialect.refusalStatus(refusal)), 11 };
    response.set(http::field::content_type, "application/json");
    response.set(HeaderName::outcome, routing::toString(refusal.outcome));
    response.set(HeaderName::reason, routing::toString(refusal.reason));
    if (!requestId.empty())
        response.set(HeaderName::requestId, requestId);
    if (refusal.retryAfter) {
        response.set(http::field::retry_after, retryAfterText(*refusal.retryAfter, dialect.fractionalRetryAfter));
        response.set(HeaderName::retryAfterMs, std::to_string(refusal.retryAfter->count()));
    }
    response.body() = refusalBody(refusal);
    respond(std::move(response), std::move(done));
}

void ServerExchange::relay(std::shared_ptr<BodySource> source, ResponseHeader header, AnswerDone done, LinkUse link)
{
    setAnswer({ nullptr, std::move(source), std::make_shared<ResponseHeader>(std::move(header)), link }, std::move(done));
}

bool ServerExchange::isRemote() const
{
    boost::system::error_code ec;
    const auto& socket = m_session->stream().socket();
    const auto local = socket.local_endpoint(ec);
    const auto remote = socket.remote_endpoint(ec);
    return ec || local.address() != remote.address();
}

void ServerExchange::setAnswer(Answer answer, AnswerDone done)
{
    if (m_interimTimer)
        m_interimTimer->cancel();
    if (m_state == State::Ended) {
        boost::asio::post(m_session->stream().get_executor(), [body = std::move(answer.body), done = std::move(done)] {
            if (body)
                body->cancel();
            if (done)
                done(AnswerEnd::CutByReceiver);
        });
        return;
    }
    m_state = State::Answered;
    m_onGone = nullptr;
    m_onNodeEnding = nullptr;
    m_answer = std::move(answer);
    m_answerDone = std::move(done);
    m_session->writeNext();
}

void ServerExchange::write(bool keepAlive)
{
    m_state = State::Writing;
    if (m_answer.whole)
        writeWhole(keepAlive);
    else
        writeRelayed(keepAlive);
}

void ServerExchange::writeWhole(bool keepAlive)
{
    auto& response = *m_answer.whole;
    response.version(11);
    response.keep_alive(keepAlive);
    response.prepare_payload();
    m_session->stream().expires_after(m_session->limits().callerIdle);
    http::async_write(m_session->stream(), response, [self = shared_from_this(), keepAlive](boost::system::error_code ec, std::size_t) {
        self->end(keepAlive, ec ? AnswerEnd::CutByReceiver : AnswerEnd::Whole);
    });
}

void ServerExchange::writeRelayed(bool keepAlive)
{
    RelayFraming framing;
    framing.mayChunk = m_request.version() >= 11;
    framing.headerOnly = m_request.method() == http::verb::head || m_answer.body->bodyIsDone();
    const bool lengthIsKnown = framing.headerOnly || m_answer.body->contentLength().has_value();
    const bool isFramed = framing.mayChunk || lengthIsKnown;
    framing.keepAlive = keepAlive && isFramed;
    auto relay = std::make_shared<BodyRelay>(m_session->stream(), m_session->limits(), std::move(m_answer.body), m_answer.link);
    relay->start(std::move(*m_answer.header), framing, [self = shared_from_this(), keepAlive = framing.keepAlive, isFramed](AnswerEnd end) {
        if (!isFramed && end != AnswerEnd::Whole)
            self->m_session->resetOnClose();
        self->end(keepAlive, end);
    });
}

void ServerExchange::end(bool keepAlive, AnswerEnd end)
{
    m_state = State::Ended;
    if (auto done = std::exchange(m_answerDone, nullptr))
        done(end);
    m_session->onAnswerEnded(keepAlive, end);
}

void ServerExchange::endUnanswered()
{
    if (auto ending = std::exchange(m_onNodeEnding, nullptr))
        ending();
}

void ServerExchange::cut()
{
    if (m_state != State::Writing)
        drop(AnswerEnd::CutByStop);
    else if (auto done = std::exchange(m_answerDone, nullptr))
        done(AnswerEnd::CutByStop);
}

void ServerExchange::drop(AnswerEnd end)
{
    if (m_state == State::Writing)
        return;
    const auto state = std::exchange(m_state, State::Ended);
    m_onNodeEnding = nullptr;
    if (m_interimTimer)
        m_interimTimer->cancel();
    if (state == State::Answered && m_answer.body)
        m_answer.body->cancel();
    if (auto done = std::exchange(m_answerDone, nullptr))
        done(end);
    if (auto gone = std::exchange(m_onGone, nullptr))
        gone(end);
}

void ServerExchange::sendInterimAnswers()
{
    if (!m_interimTimer)
        m_interimTimer.emplace(m_session->stream().get_executor());
    m_interimTimer->expires_after(m_session->limits().interimInterval);
    m_interimTimer->async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (ec || self->m_state != State::Handling)
            return;
        if (self->m_session->isFirst(*self))
            self->writeInterim();
        else
            self->sendInterimAnswers();
    });
}

void ServerExchange::writeInterim()
{
    m_writingInterim = true;
    auto interim = std::make_shared<Response>(http::status::processing, 11);
    m_session->stream().expires_after(m_session->limits().requestTimeout);
    http::async_write(m_session->stream(), *interim, [self = shared_from_this(), interim](boost::system::error_code ec, std::size_t) {
        self->m_writingInterim = false;
        if (self->m_state == State::Answered)
            self->m_session->writeNext();
        else if (!ec && self->m_state == State::Handling)
            self->sendInterimAnswers();
    });
}

}
