#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/gateway/GatewayLimits.h"
#include "internal/RequestMemory.h"
#include "internal/ServerSession.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace carobpath::gateway::Detail {

/// Accepts connections on one address and starts a session for each.
class Listener : public std::enable_shared_from_this<Listener> {
public:
    /// \param memory shared with other listeners.
    Listener(boost::asio::io_context&, const GatewayLimits&, const Dialect&, ServerSession::Handlers, RequestMemory::Pointer memory);

    /// \returns the error of the system where the address cannot be listened on.
    boost::system::error_code listen(const Endpoint&);

    /// Where it listens; the port is the real one where 0 was asked for.
    Endpoint endpoint() const;

    /// Answers say that their connections close, those of connections that are yet to come too.
    void announceClose();

    /// Accepts no more connections. Those that are open go on; their next answers say that they close.
    void stopAccepting();

    /// Closes the connections that are idle and were not used a moment ago. To be repeated.
    void closeIdle();

    /// \returns the connections that are not closed.
    std::size_t openConnections() const;

    /// This node is about to end: requests that are being handled are to be answered now.
    void endUnanswered();

    /// Closes every connection.
    /// \returns the requests that are left without a whole answer.
    std::size_t cut();

    /// \returns the connections on which a request has no whole answer yet.
    std::size_t busyConnections() const;

private:
    /// Connections that are accepted at a turn of the thread. New ones come in bursts, and the system refuses those for which its queue has no room.
    static constexpr std::size_t s_acceptsPerTurn = 16;

    void accept();
    /// Takes the connections that wait beside the one that was just accepted.
    void acceptWaiting();
    void add(boost::asio::ip::tcp::socket&&);
    void forgetClosed();
    /// Closes a connection that can be spared.
    /// \returns whether there was one.
    bool makeRoom();
    template <typename Action>
    void forEachSession(Action) const;

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    const GatewayLimits& m_limits;
    const Dialect& m_dialect;
    ServerSession::Handlers m_handlers;
    RequestMemory::Pointer m_memory;
    std::vector<std::weak_ptr<ServerSession>> m_sessions;
    std::size_t m_forgetAt = 64;
    bool m_announcesClose = false;
};

}
