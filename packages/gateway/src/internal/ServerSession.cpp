#include "internal/ServerSession.h"

#include "internal/SocketOptions.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace carobpath::gateway::Detail {

ServerSession::ServerSession(boost::asio::ip::tcp::socket&& socket, const GatewayLimits& limits, const Dialect& dialect, Handlers handlers, RequestMemory::Pointer memory)
    : m_stream(std::move(socket))
    , m_timeout(m_stream.get_executor())
    , m_closeCheck(m_stream.get_executor())
    , m_limits(limits)
    , m_dialect(dialect)
    , m_handlers(std::move(handlers))
    , m_memory(memory ? std::move(memory) : std::make_shared<RequestMemory>(limits.heldBytes))
    , m_reader(limits, m_memory->store())
    , m_overhead(m_memory->store())
{
}

ServerSession::~ServerSession() { m_memory->remove(*this); }

void ServerSession::start()
{
    setConnectionOptions(m_stream.socket());
    m_idleSince = MonotonicClock::now();
    scheduleTimeout();
    readMore();
}

bool ServerSession::isBusy()
{
    if (m_state != State::Open)
        return m_state == State::Lingering;
    return !m_exchanges.empty() || m_reader.hasPartialRequest() || unacknowledgedBytes(m_stream.socket()) > 0;
}

// Reading

void ServerSession::readMore()
{
    if (m_reading || m_peerClosed || m_state == State::Closed)
        return;
    if (m_state == State::Open && m_reader.isFull()) {
        checkForClose();
        return;
    }
    m_reading = true;
    m_stream.socket().async_read_some(m_reader.prepare(),
        [self = shared_from_this()](boost::system::error_code ec, std::size_t n) { self->onRead(ec, n); });
}

void ServerSession::onRead(boost::system::error_code ec, std::size_t n)
{
    m_reading = false;
    if (m_state == State::Closed)
        return;
    if (ec) {
        onPeerClosed();
        return;
    }
    if (m_state == State::Open) {
        m_reader.commit(n, MonotonicClock::now());
        takeRequests();
    }
    readMore();
}

void ServerSession::onPeerClosed()
{
    m_peerClosed = true;
    m_takesRequests = false;
    if (!m_writing) {
        close();
        return;
    }
    // The answer that is being written may be all that the other end still waits for.
    dropExchanges(1);
}

void ServerSession::checkForClose()
{
    m_closeCheck.expires_after(s_closeCheckInterval);
    m_closeCheck.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (ec || self->m_state == State::Closed || self->m_reading)
            return;
        if (!self->endIfPeerClosed())
            self->readMore();
    });
}

bool ServerSession::endIfPeerClosed()
{
    if (!hasPeerShutDown(m_stream.socket()))
        return false;
    onPeerClosed();
    return true;
}

// Requests

bool ServerSession::mayTakeRequest() const
{
    if (m_state != State::Open || !m_takesRequests)
        return false;
    if (m_exchanges.empty())
        return true;
    return !m_closeAnnounced && m_exchanges.size() < m_limits.pipelinedRequests && m_heldBytes <= m_limits.bodyBytes;
}

void ServerSession::takeRequests()
{
    takeWholeRequests();
    holdUnfinished();
}

void ServerSession::takeWholeRequests()
{
    while (mayTakeRequest()) {
        auto result = m_reader.next();
        if (!result)
            return;
        if (auto* request = std::get_if<ReadRequest>(&*result))
            add(std::move(*request));
        else
            refuseUnreadable(std::get<UnreadableRequest>(*result));
    }
}

void ServerSession::add(ReadRequest&& request)
{
    // It has come whole: it cannot make room for itself any more.
    m_memory->remove(*this);
    m_isUnfinished = false;
    const bool hasBody = !request.message.body().empty();
    if (hasBody && !m_memory->makeRoom(request.message.body().size(), MonotonicClock::now())) {
        m_reader.clear();
        refuseForRoom(request.arrivedAt);
        return;
    }
    m_takesRequests = request.message.keep_alive();
    m_heldBytes += request.message.body().size();
    m_exchanges.push_back(std::make_shared<ServerExchange>(shared_from_this(), std::move(request.message), request.arrivedAt, ++m_requests == 1));
    beginQueued();
}

void ServerSession::holdUnfinished()
{
    const bool isUnfinished = m_reader.hasPartialRequest() && mayTakeRequest();
    m_overhead.set(m_reader.hasPartialRequest() ? m_reader.overheadBytes() : 0);
    if (std::exchange(m_isUnfinished, isUnfinished) && !isUnfinished)
        m_memory->remove(*this);
    if (!isUnfinished)
        return;
    m_memory->add(*this);
    m_memory->makeRoom(m_reader.heldBytes(), MonotonicClock::now());
}

UnfinishedUse ServerSession::use() const { return { m_reader.heldBytes(), m_reader.progressAt() }; }

void ServerSession::shed()
{
    m_isUnfinished = false;
    const auto unreadable = m_reader.giveUp(routing::RefusalReason::Overloaded);
    m_overhead.set(0);
    refuseForRoom(unreadable.arrivedAt);
}

void ServerSession::refuseForRoom(MonotonicTime arrivedAt)
{
    m_memory->countShed();
    refuseUnreadable({ routing::RefusalReason::Overloaded, arrivedAt });
}

void ServerSession::refuseUnreadable(const UnreadableRequest& unreadable)
{
    m_takesRequests = false;
    routing::Refusal refusal { routing::Outcome::NotRun, unreadable.reason, std::nullopt };
    if (unreadable.reason == routing::RefusalReason::Overloaded)
        refusal.retryAfter = s_comeBackAfter;
    if (m_handlers.onUnreadable)
        m_handlers.onUnreadable(refusal, unreadable.arrivedAt);
    const auto exchange = std::make_shared<ServerExchange>(shared_from_this(), Request { http::verb::get, "/", 11 }, unreadable.arrivedAt, m_requests == 0);
    m_exchanges.push_back(exchange);
    exchange->refuse(refusal, {});
}

bool ServerSession::isSafe(ServerExchange& exchange) const
{
    if (!exchange.m_isSafe)
        exchange.m_isSafe = m_handlers.isSafe && m_handlers.isSafe(exchange.request());
    return *exchange.m_isSafe;
}

void ServerSession::beginQueued()
{
    for (std::size_t i = 0; m_state == State::Open && i < m_exchanges.size(); ++i) {
        const auto exchange = m_exchanges[i];
        // All before it are safe, else the loop would have ended.
        if (i > 0 && !isSafe(*exchange))
            return;
        if (exchange->m_state == ServerExchange::State::Queued) {
            exchange->m_state = ServerExchange::State::Handling;
            m_handlers.onRequest(exchange);
        }
        const bool hasNext = i + 1 < m_exchanges.size();
        if (hasNext && !isSafe(*exchange))
            return;
    }
}

// Answers

void ServerSession::writeNext()
{
    if (m_writing || m_state != State::Open || m_exchanges.empty())
        return;
    const auto first = m_exchanges.front();
    if (first->m_state != ServerExchange::State::Answered || first->m_writingInterim)
        return;
    m_writing = true;
    first->write(keepsOpenAfterFirst());
}

bool ServerSession::keepsOpenAfterFirst() const
{
    const bool hasNext = m_exchanges.size() > 1;
    if (m_closeAnnounced)
        return hasNext && m_exchanges[1]->m_state != ServerExchange::State::Queued;
    return m_takesRequests || hasNext;
}

void ServerSession::onAnswerEnded(bool keepAlive, AnswerEnd end)
{
    m_writing = false;
    if (m_state != State::Open)
        return;
    m_heldBytes -= m_exchanges.front()->request().body().size();
    m_exchanges.pop_front();
    if (end != AnswerEnd::Whole || m_peerClosed) {
        close();
        return;
    }
    if (!keepAlive) {
        linger();
        return;
    }
    m_idleSince = MonotonicClock::now();
    beginQueued();
    takeRequests();
    writeNext();
    readMore();
}

// Closing

void ServerSession::closeIfIdle()
{
    m_closeAnnounced = true;
    const auto now = MonotonicClock::now();
    if (isBusy())
        m_idleSince = now;
    if (now - m_idleSince < SheddingPolicy::s_requestAllowance)
        return;
    // A request may be here whose bytes were not dealt with yet, after this process was held up.
    boost::asio::post(m_stream.get_executor(), [self = shared_from_this()] {
        boost::system::error_code ec;
        if (self->m_state == State::Open && !self->isBusy() && self->m_stream.socket().available(ec) == 0)
            self->close();
    });
}

ConnectionUse ServerSession::connectionUse()
{
    using Kind = ConnectionUse::Kind;
    if (m_state != State::Open || !m_exchanges.empty())
        return {};
    if (m_reader.hasPartialRequest())
        return { Kind::Unfinished, m_reader.progressAt() };
    boost::system::error_code ec;
    const bool isQuiet = m_stream.socket().available(ec) == 0 && unacknowledgedBytes(m_stream.socket()) == 0;
    return { isQuiet ? Kind::Idle : Kind::Busy, m_idleSince };
}

void ServerSession::endUnanswered()
{
    const auto exchanges = m_exchanges;
    for (const auto& it : exchanges)
        it->endUnanswered();
}

std::size_t ServerSession::cut()
{
    if (m_state != State::Open)
        return 0;
    const auto exchanges = m_exchanges;
    // A cut answer without a stated length must not look whole.
    if (!exchanges.empty() && exchanges.front()->isRelaying())
        resetOnClose();
    for (const auto& it : exchanges)
        it->cut();
    close();
    return exchanges.size();
}

void ServerSession::dropExchanges(std::size_t from)
{
    std::deque<ServerExchange::Pointer> dropped;
    while (m_exchanges.size() > from) {
        dropped.push_front(std::move(m_exchanges.back()));
        m_exchanges.pop_back();
    }
    std::size_t unhandled = 0;
    for (const auto& it : dropped) {
        unhandled += it->m_state == ServerExchange::State::Queued ? 1 : 0;
        it->drop(AnswerEnd::CutByReceiver);
    }
    if (unhandled > 0 && m_handlers.onDropped)
        m_handlers.onDropped(unhandled);
}

void ServerSession::resetOnClose()
{
    m_resetsOnClose = true;
    boost::system::error_code ec;
    m_stream.socket().set_option(boost::asio::socket_base::linger { true, 0 }, ec);
}

void ServerSession::linger()
{
    m_state = State::Lingering;
    boost::system::error_code ec;
    m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    dropExchanges(0);
    m_idleSince = MonotonicClock::now();
    scheduleTimeout();
    readMore();
}

void ServerSession::close()
{
    if (std::exchange(m_state, State::Closed) == State::Closed)
        return;
    m_timeout.cancel();
    m_closeCheck.cancel();
    boost::system::error_code ec;
    if (!m_resetsOnClose)
        m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    m_stream.close();
    m_memory->remove(*this);
    m_reader.clear();
    m_overhead.set(0);
    dropExchanges(0);
}

// Timeouts

std::optional<MonotonicTime> ServerSession::timeoutAt() const
{
    if (m_state == State::Lingering)
        return m_idleSince + s_lingerTime;
    if (m_takesRequests && m_reader.hasPartialRequest() && mayTakeRequest())
        return m_reader.partialRequestSince() + m_limits.requestTimeout;
    if (m_exchanges.empty())
        return m_idleSince + m_limits.callerIdle;
    return std::nullopt;
}

void ServerSession::scheduleTimeout()
{
    const auto now = MonotonicClock::now();
    if (m_state == State::Lingering && unacknowledgedBytes(m_stream.socket()) > 0)
        m_idleSince = now;
    const auto at = timeoutAt();
    if (at && now >= *at) {
        if (m_exchanges.empty())
            close();
        else
            m_takesRequests = false;
        return;
    }
    // Set anew at the latest when a request that begins in the meantime could time out, rather than for each request.
    const auto latest = now + std::min(m_limits.requestTimeout, m_limits.callerIdle);
    m_timeout.expires_at(at ? std::min(*at, latest) : latest);
    m_timeout.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec && self->m_state != State::Closed)
            self->scheduleTimeout();
    });
}

}
