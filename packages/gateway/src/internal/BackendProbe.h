#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>

namespace carobpath::gateway::Detail {

/// Finds out whether a server that broke a connection has ended: then it refuses a new connection. The sockets of a
/// process that ends are closed one after the other, so that its listener can outlive the broken connection for a
/// moment; a probe that is accepted and broken at once is therefore made a second time.
class BackendProbe : public std::enable_shared_from_this<BackendProbe> {
public:
    /// Time for the whole probe. On the same instance an answer takes microseconds.
    static constexpr std::chrono::milliseconds s_timeout { 20 };

    using Handler = std::function<void(bool hasEnded)>;

    /// Calls the handler once, at the latest after \c s_timeout; a server that says nothing by then counts as alive.
    static void start(boost::asio::io_context&, const boost::asio::ip::tcp::endpoint&, Handler);

private:
    BackendProbe(boost::asio::io_context&, const boost::asio::ip::tcp::endpoint&, Handler);

    void startTimer();
    void connect();
    void onConnected(boost::system::error_code);
    /// Waits for the end of the accepted connection.
    void watch();
    void finish(bool hasEnded);

    boost::asio::ip::tcp::endpoint m_endpoint;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::array<char, 1> m_byte {};
    bool m_wasAccepted = false;
    Handler m_handler;
};

}
