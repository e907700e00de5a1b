#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/gateway/Dialect.h"
#include "carobpath/gateway/GatewayHooks.h"
#include "carobpath/gateway/GatewayLimits.h"
#include "carobpath/routing/Outcome.h"
#include "internal/BodySource.h"
#include "internal/HttpTypes.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace carobpath::gateway::Detail {

/// One accepted connection. Reads a request, hands it to the handler, and writes the one answer that the handler
/// gives; then the next. Keeps itself alive while an operation runs.
class ServerSession : public std::enable_shared_from_this<ServerSession> {
public:
    using Pointer = std::shared_ptr<ServerSession>;
    using RequestHandler = std::function<void(const Pointer&)>;
    /// What a session calls.
    struct Handlers {
        RequestHandler onRequest;
        /// A request that can't be read was refused; may be empty.
        std::function<void(const routing::Refusal&, MonotonicTime arrivedAt)> onUnreadable;
    };
    /// Called once the answer is out or cut short.
    using AnswerDone = std::function<void(AnswerEnd)>;

    ServerSession(boost::asio::ip::tcp::socket&&, const GatewayLimits&, const Dialect&, Handlers);

    void start();

    /// Valid from the call of the request handler until the answer is written.
    const Request& request() const { return m_parser->get(); }
    MonotonicTime arrivedAt() const { return m_arrivedAt; }

    /// Writes a whole answer.
    void respond(Response&&, AnswerDone = nullptr);

    /// Writes a refusal with its outcome, reason and time to come back.
    void refuse(const routing::Refusal&, std::string_view requestId, AnswerDone = nullptr);

    /// Writes an answer, piece by piece as it comes.
    /// Closes the connection where the body is cut short, so that the caller can see it.
    void relay(std::shared_ptr<BodySource>, ResponseHeader, AnswerDone);

    /// Says that the answer is still being worked on (status 102), from time to time, until the answer begins.
    void sendInterimAnswers();

    /// Called once if the other end goes away before the answer begins.
    void onGone(std::function<void()>);

    /// Closes the connection without an answer: nobody waits for it.
    void abandon() { close(); }

    /// The next answer tells the other end that the connection closes after it.
    void announceClose() { m_closeAnnounced = true; }

    /// No further request is taken; the connection closes once it is idle.
    void closeWhenIdle();

    /// True while a request is being read, waits for its answer, or the answer is being written.
    bool isBusy() const { return m_state == State::Reading || m_state == State::Handling || m_state == State::Answering; }

private:
    enum class State : std::uint8_t {
        Idle,
        Reading,
        Handling,
        Answering,
        Closed,
    };

    void waitForRequest();
    void readRequest();
    void onRequest(boost::system::error_code);
    void refuseMalformed(boost::system::error_code);
    void watchForClose();
    void beginAnswer();
    void endAnswer(bool keepAlive, AnswerEnd);
    void writeWhole();
    void writeInterim();
    void close();
    void closeUnlessAsked();

    boost::beast::tcp_stream m_stream;
    boost::asio::steady_timer m_interimTimer;
    const GatewayLimits& m_limits;
    const Dialect& m_dialect;
    Handlers m_handlers;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::shared_ptr<Response> m_response;
    AnswerDone m_answerDone;
    std::function<void()> m_onGone;
    std::function<void()> m_afterInterim;
    MonotonicTime m_arrivedAt;
    State m_state = State::Idle;
    bool m_closeAnnounced = false;
    bool m_closeWhenIdle = false;
    bool m_watching = false;
    bool m_writingInterim = false;
    bool m_requestKeepsAlive = false;
};

}
