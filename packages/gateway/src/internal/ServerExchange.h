#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/gateway/GatewayHooks.h"
#include "carobpath/routing/Outcome.h"
#include "internal/BodyRelay.h"
#include "internal/BodySource.h"
#include "internal/HttpTypes.h"
#include "internal/LinkGate.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace carobpath::gateway::Detail {

class ServerSession;

/// One request of a connection and the one answer to it. The answer is written once those to all requests before it
/// on the connection are out.
class ServerExchange : public std::enable_shared_from_this<ServerExchange> {
public:
    using Pointer = std::shared_ptr<ServerExchange>;
    /// Called once the answer is out or cut short.
    using AnswerDone = std::function<void(AnswerEnd)>;

    ServerExchange(std::shared_ptr<ServerSession>, Request&&, MonotonicTime arrivedAt, bool isFirstOnConnection);

    const Request& request() const { return m_request; }
    /// Removes the field from the request, so that it is passed on to nobody.
    void removeField(std::string_view name) { m_request.erase(name); }
    /// When the first byte of the request came. Waiting for its turn counts against its deadline.
    MonotonicTime arrivedAt() const { return m_arrivedAt; }
    bool isFirstOnConnection() const { return m_isFirstOnConnection; }

    /// Answers with a whole message.
    void respond(Response&&, AnswerDone = nullptr);

    /// Answers with a refusal: its outcome, reason and time to come back.
    void refuse(const routing::Refusal&, std::string_view requestId, AnswerDone = nullptr);

    /// Answers with a body that is written piece by piece as it comes. Nothing of it is read before its turn.
    /// Closes the connection where the body is cut short, so that the caller can see it.
    void relay(std::shared_ptr<BodySource>, ResponseHeader, AnswerDone, LinkUse = {});

    /// \returns whether the answer leaves this machine.
    bool isRemote() const;

    /// Signals that the answer is still being worked on (status 102), from time to time, until the answer begins. Only
    /// the first request on a connection does so.
    void sendInterimAnswers();

    /// Called once if the connection ends before the answer begins: the other end went away, or this node ends.
    void onGone(std::function<void(AnswerEnd)>);

    /// Called once if this node is about to end and the answer has not begun.
    void onNodeEnding(std::function<void()>);

    /// Checks the connection itself, whose end may stand behind events that this process has yet to deal with. To be
    /// called right before the request is passed on, so that no work is begun for a caller that has left.
    /// \returns whether the other end has gone away; \c onGone has been called then.
    bool endIfGone();

    /// Closes the connection without an answer: nobody waits for it.
    void abandon();

private:
    friend class ServerSession;

    enum class State : std::uint8_t {
        /// Waits for the requests before it.
        Queued,
        Handling,
        /// The answer is there and waits for its turn.
        Answered,
        Writing,
        Ended,
    };

    /// An answer that waits for its turn: a whole message, or the header of one whose body is relayed.
    struct Answer {
        std::shared_ptr<Response> whole;
        std::shared_ptr<BodySource> body;
        std::shared_ptr<ResponseHeader> header;
        LinkUse link;
    };

    /// Takes the answer; ends the exchange at once if the connection is gone.
    void setAnswer(Answer, AnswerDone);
    /// Writes the answer, and reports its end to the session.
    void write(bool keepAlive);
    void writeWhole(bool keepAlive);
    void writeRelayed(bool keepAlive);
    void writeInterim();
    void end(bool keepAlive, AnswerEnd);
    /// The connection ended before the answer was written.
    void drop(AnswerEnd);
    /// This node is about to end: the handler is to answer now.
    void endUnanswered();
    /// This node ends; nothing more of the answer is written.
    void cut();
    /// \returns whether the answer is being written from a source that may break off.
    bool isRelaying() const { return m_state == State::Writing && !m_answer.whole; }

    std::shared_ptr<ServerSession> m_session;
    Request m_request;
    MonotonicTime m_arrivedAt;
    bool m_isFirstOnConnection;
    State m_state = State::Queued;
    /// Whether the request may be handled beside others; unknown until another one comes behind it.
    std::optional<bool> m_isSafe;
    Answer m_answer;
    AnswerDone m_answerDone;
    std::function<void(AnswerEnd)> m_onGone;
    std::function<void()> m_onNodeEnding;
    std::optional<boost::asio::steady_timer> m_interimTimer;
    bool m_writingInterim = false;
};

}
