#pragma once

#include "common/HttpSession.h"
#include "common/StandinProcess.h"

#include <array>
#include <chrono>
#include <memory>
#include <set>

namespace carobpath::standins {

/// How the relay treats connections that are accepted from now on.
struct RelaySwitches {
    /// Bytes are read and dropped in both directions; the connection stays open.
    bool isSilent = false;
    /// New connections are reset.
    bool isRefusing = false;
    /// Delay of each piece in each direction.
    std::chrono::milliseconds delay { 0 };
};

/// One connection through the relay: a socket to each end.
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection> {
public:
    RelayedConnection(tcp::socket accepted, const RelaySwitches&);

    void start(const tcp::endpoint& destination);

    /// Drops every further byte in both directions and keeps both ends open.
    void silence() { m_isSilent = true; }

    /// Resets both ends.
    void cut();

    bool isOpen() const { return m_isOpen; }

private:
    static constexpr std::size_t s_bufferBytes = 16'384;

    /// One direction of the flow.
    struct Flow {
        Flow(tcp::socket& source, tcp::socket& sink)
            : from(source)
            , to(sink)
            , timer(source.get_executor())
        {
        }

        tcp::socket& from;
        tcp::socket& to;
        boost::asio::steady_timer timer;
        std::array<char, s_bufferBytes> buffer {};
    };

    void pump(Flow&);
    void forward(Flow&, std::size_t count);
    void endOfFlow(Flow&);

    tcp::socket m_caller;
    tcp::socket m_callee;
    const RelaySwitches& m_switches;
    Flow m_forth;
    Flow m_back;
    bool m_isSilent = false;
    bool m_isOpen = true;
};

/// A TCP relay that can cut, delay and silence the connections through it.
class Relay {
public:
    Relay(StandinProcess&, const tcp::endpoint& listen, tcp::endpoint destination);

    tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    tcp::endpoint controlEndpoint() const { return m_control.endpoint(); }

private:
    void accept();
    void control(HttpSession&);
    void applyControl(const std::string& json);
    void forgetClosed();

    StandinProcess& m_process;
    tcp::endpoint m_destination;
    RelaySwitches m_switches;
    std::set<std::shared_ptr<RelayedConnection>> m_connections;
    tcp::acceptor m_acceptor;
    HttpServer m_control;
};

}
