#include "internal/Listener.h"

#include "internal/SocketOptions.h"

#include <boost/asio/error.hpp>

#include <utility>

namespace carobpath::gateway::Detail {

namespace {

    /// Pause after the system refused a connection, mostly for want of file descriptors.
    constexpr std::chrono::milliseconds acceptPause { 50 };

    /// Bytes of one connection that the system keeps unread; it takes up to twice as many. They are memory of the instance, too.
    constexpr int receiveBufferBytes = 16 * 1024;

}

Listener::Listener(boost::asio::io_context& context, const GatewayLimits& limits, const Dialect& dialect, ServerSession::Handlers handlers, RequestMemory::Pointer memory)
    : m_acceptor(context)
    , m_acceptTimer(context)
    , m_limits(limits)
    , m_dialect(dialect)
    , m_handlers(std::move(handlers))
    , m_memory(std::move(memory))
{
}

boost::system::error_code Listener::listen(const Endpoint& endpoint)
{
    const auto tcp = toTcp(endpoint);
    if (!tcp)
        return boost::asio::error::invalid_argument;
    boost::system::error_code ec;
    m_acceptor.open(tcp->protocol(), ec);
    if (ec)
        return ec;
    m_acceptor.set_option(boost::asio::socket_base::reuse_address { true }, ec);
    // Connections inherit it; set later it would not narrow the window that was offered.
    m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size { receiveBufferBytes }, ec);
    m_acceptor.bind(*tcp, ec);
    if (ec)
        return ec;
    m_acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (ec)
        return ec;
    m_acceptor.non_blocking(true, ec);
    if (ec)
        return ec;
    accept();
    return {};
}

Endpoint Listener::endpoint() const
{
    boost::system::error_code ec;
    return fromTcp(m_acceptor.local_endpoint(ec));
}

void Listener::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted || !self->m_acceptor.is_open())
            return;
        if (!ec) {
            self->add(std::move(socket));
            self->acceptWaiting();
            self->accept();
            return;
        }
        self->m_acceptTimer.expires_after(acceptPause);
        self->m_acceptTimer.async_wait([self](boost::system::error_code waited) {
            if (!waited)
                self->accept();
        });
    });
}

void Listener::acceptWaiting()
{
    for (std::size_t n = 1; n < s_acceptsPerTurn; ++n) {
        boost::asio::ip::tcp::socket socket(m_acceptor.get_executor());
        boost::system::error_code ec;
        m_acceptor.accept(socket, ec);
        if (ec)
            return;
        add(std::move(socket));
    }
}

void Listener::add(boost::asio::ip::tcp::socket&& socket)
{
    if (m_sessions.size() >= m_forgetAt)
        forgetClosed();
    if (m_sessions.size() >= m_limits.connections && !makeRoom())
        return;
    auto session = std::make_shared<ServerSession>(std::move(socket), m_limits, m_dialect, m_handlers, m_memory);
    m_sessions.push_back(session);
    if (m_announcesClose)
        session->announceClose();
    session->start();
}

bool Listener::makeRoom()
{
    std::vector<ConnectionUse> uses;
    uses.reserve(m_sessions.size());
    for (const auto& it : m_sessions) {
        const auto session = it.lock();
        uses.push_back(session ? session->connectionUse() : ConnectionUse {});
    }
    const auto i = SheddingPolicy::connectionToClose(uses, MonotonicClock::now());
    if (!i)
        return false;
    if (const auto session = m_sessions[*i].lock())
        session->makeWay();
    m_sessions.erase(m_sessions.begin() + static_cast<std::ptrdiff_t>(*i));
    return true;
}

void Listener::forgetClosed()
{
    std::erase_if(m_sessions, [](const auto& it) { return it.expired(); });
    m_forgetAt = std::max<std::size_t>(64, 2 * m_sessions.size());
    m_forgetAt = std::min<std::size_t>(m_forgetAt, m_limits.connections);
}

template <typename Action>
void Listener::forEachSession(Action action) const
{
    for (const auto& it : m_sessions) {
        if (const auto session = it.lock())
            action(*session);
    }
}

void Listener::announceClose()
{
    m_announcesClose = true;
    forEachSession([](ServerSession& it) { it.announceClose(); });
}

void Listener::stopAccepting()
{
    if (!m_acceptor.is_open())
        return;
    boost::system::error_code ec;
    m_acceptor.close(ec);
    m_acceptTimer.cancel();
    announceClose();
}

void Listener::closeIdle()
{
    forEachSession([](ServerSession& it) { it.closeIfIdle(); });
}

std::size_t Listener::openConnections() const
{
    std::size_t n = 0;
    forEachSession([&n](const ServerSession& it) { n += it.isClosed() ? 0 : 1; });
    return n;
}

void Listener::endUnanswered()
{
    forEachSession([](ServerSession& it) { it.endUnanswered(); });
}

std::size_t Listener::cut()
{
    std::size_t n = 0;
    forEachSession([&n](ServerSession& it) { n += it.cut(); });
    return n;
}

std::size_t Listener::busyConnections() const
{
    std::size_t n = 0;
    forEachSession([&n](ServerSession& it) { n += it.isBusy() ? 1 : 0; });
    return n;
}

}
