#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/gateway/Dialect.h"
#include "carobpath/gateway/GatewayHooks.h"
#include "carobpath/gateway/GatewayLimits.h"
#include "carobpath/routing/Outcome.h"
#include "internal/RequestMemory.h"
#include "internal/RequestReader.h"
#include "internal/ServerExchange.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace carobpath::gateway::Detail {

/// One accepted connection. Reads requests ahead, within bounds, hands them to the handler, and writes the answers in
/// the order of the requests. Safe requests are handled side by side; any other is handled alone (RFC 9112, section
/// 9.3.2). Keeps itself alive while an operation runs.
class ServerSession : public std::enable_shared_from_this<ServerSession>, private UnfinishedRequest {
public:
    using Pointer = std::shared_ptr<ServerSession>;
    using RequestHandler = std::function<void(const ServerExchange::Pointer&)>;
    /// What a session calls. All but the first may be empty.
    struct Handlers {
        RequestHandler onRequest;
        /// \returns whether the request may be handled beside others of its connection. Empty: none may.
        std::function<bool(const Request&)> isSafe;
        /// A request that can't be read was refused.
        std::function<void(const routing::Refusal&, MonotonicTime arrivedAt)> onUnreadable;
        /// This many requests were read and not handled when their connection ended.
        std::function<void(std::size_t)> onDropped;
    };

    /// \param memory shared with other sessions; the session has its own without it.
    ServerSession(boost::asio::ip::tcp::socket&&, const GatewayLimits&, const Dialect&, Handlers, RequestMemory::Pointer memory = nullptr);
    ~ServerSession() override;
    ServerSession(const ServerSession&) = delete;
    ServerSession& operator=(const ServerSession&) = delete;

    void start();

    /// The connection closes after the answers to the requests that are being handled; no request behind them is taken.
    void announceClose() { m_closeAnnounced = true; }

    /// Closes the connection if it is idle and was not used a moment ago; its next answer says that it closes. To be repeated
    /// until the connection is closed.
    void closeIfIdle();

    /// \returns whether the connection is closed.
    bool isClosed() const { return m_state == State::Closed; }

    /// \returns what stands on the connection.
    ConnectionUse connectionUse();
    /// Closes the connection, on which no request is handled, for another one.
    void makeWay() { close(); }

    /// This node is about to end: requests that are being handled are to be answered now.
    void endUnanswered();

    /// Closes the connection, whatever is on it.
    /// \returns the requests that are left without a whole answer.
    std::size_t cut();

    /// True while a request is being read or handled, or its answer is on its way to the other end.
    bool isBusy();

private:
    friend class ServerExchange;

    /// Time for the other end to close once the last answer has reached it, before the connection is closed from here. Closing it
    /// with unread bytes would reset it and could destroy the answer (RFC 9112, section 9.6).
    static constexpr std::chrono::seconds s_lingerTime { 1 };
    /// When a caller whose request found no room may come back.
    static constexpr std::chrono::seconds s_comeBackAfter { 1 };
    /// Interval of checks for the other end's closing while no bytes are read.
    static constexpr std::chrono::milliseconds s_closeCheckInterval { 200 };

    enum class State : std::uint8_t {
        Open,
        /// The last answer is out.
        Lingering,
        Closed,
    };

    boost::beast::tcp_stream& stream() { return m_stream; }
    const GatewayLimits& limits() const { return m_limits; }
    const Dialect& dialect() const { return m_dialect; }
    bool isFirst(const ServerExchange& it) const { return !m_exchanges.empty() && m_exchanges.front().get() == &it; }

    void readMore();
    void onRead(boost::system::error_code, std::size_t n);
    void onPeerClosed();
    void checkForClose();
    /// \returns whether the other end has closed the connection, although its end may not have been read yet.
    bool endIfPeerClosed();

    bool mayTakeRequest() const;
    void takeRequests();
    void takeWholeRequests();
    /// Counts what the unfinished request holds, and makes room where that is too much.
    void holdUnfinished();
    UnfinishedUse use() const override;
    void shed() override;
    void add(ReadRequest&&);
    void refuseUnreadable(const UnreadableRequest&);
    void refuseForRoom(MonotonicTime arrivedAt);
    void beginQueued();
    bool isSafe(ServerExchange&) const;

    void writeNext();
    bool keepsOpenAfterFirst() const;
    void onAnswerEnded(bool keepAlive, AnswerEnd);

    /// Makes a cut answer without a stated length visible to the other end.
    void resetOnClose();
    void linger();
    void close();
    void dropExchanges(std::size_t from);

    void scheduleTimeout();
    std::optional<MonotonicTime> timeoutAt() const;

    boost::beast::tcp_stream m_stream;
    boost::asio::steady_timer m_timeout;
    boost::asio::steady_timer m_closeCheck;
    const GatewayLimits& m_limits;
    const Dialect& m_dialect;
    Handlers m_handlers;
    RequestMemory::Pointer m_memory;
    RequestReader m_reader;
    /// Of the unfinished request, without its body.
    Charge m_overhead;
    /// Requests without a whole answer, in the order in which they came.
    std::deque<ServerExchange::Pointer> m_exchanges;
    /// Bytes of the bodies of \c m_exchanges.
    std::uint64_t m_heldBytes = 0;
    /// Requests that came whole.
    std::uint64_t m_requests = 0;
    MonotonicTime m_idleSince;
    State m_state = State::Open;
    bool m_isUnfinished = false;
    bool m_reading = false;
    bool m_writing = false;
    /// False once no request can follow: the last one said so, could not be read, or the other end has closed.
    bool m_takesRequests = true;
    bool m_closeAnnounced = false;
    bool m_peerClosed = false;
    bool m_resetsOnClose = false;
};

}
