#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/gateway/GatewayLimits.h"
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
    Listener(boost::asio::io_context&, const GatewayLimits&, ServerSession::RequestHandler);

    /// \returns the error of the system where the address cannot be listened on.
    boost::system::error_code listen(const Endpoint&);

    /// Where it listens; the port is the real one where 0 was asked for.
    Endpoint endpoint() const;

    /// Accepts no more, and closes each connection once it is idle.
    void stop();

    std::size_t connections();

private:
    void accept();
    void add(boost::asio::ip::tcp::socket&&);
    void forgetClosed();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptTimer;
    const GatewayLimits& m_limits;
    ServerSession::RequestHandler m_handler;
    std::vector<std::weak_ptr<ServerSession>> m_sessions;
    std::size_t m_forgetAt = 64;
};

}
