#pragma once

#include "Peer.capnp.h"
#include "carobpath/foundation/Backoff.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/peer/PeerClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>

namespace carobpath::peer {

/// One call to a peer, from its submission to its end.
struct PeerCall {
    /// Sends the call; the promise ends once \c done of its completion was called.
    std::function<kj::Promise<void>(schema::Peer::Client&)> send;
    std::function<void(PeerError)> failed;
    std::chrono::milliseconds timeout {};
};

/// The connection to one peer: made on the first call, made anew after a failure, with a delay of full jitter.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
    PeerConnection(std::shared_ptr<PeerRuntime>, Endpoint, std::shared_ptr<std::mt19937_64>);
    ~PeerConnection();

    void submit(PeerCall);
    /// Ends every call with the fault, and the connection.
    void close(PeerFault);

    std::size_t calls() const { return m_calls.size(); }
    MonotonicTime lastUsed() const { return m_lastUsed; }
    bool open() const { return m_session != nullptr || m_isConnecting; }

private:
    struct Session;
    struct Running {
        Running(PeerCall it, boost::asio::io_context& context)
            : call(std::move(it))
            , timer(context)
        {
        }

        PeerCall call;
        boost::asio::steady_timer timer;
        kj::Promise<void> promise = nullptr;
        bool isSent = false;
        bool hasEnded = false;
    };
    using RunningPointer = std::shared_ptr<Running>;

    void connectLater();
    void connect();
    void onConnected(const boost::system::error_code&, const std::shared_ptr<boost::asio::ip::tcp::socket>&);
    void sendWaiting();
    void send(const RunningPointer&);
    void onTimeout(const RunningPointer&);
    void end(const RunningPointer&);
    void fail(const RunningPointer&, PeerFault);
    void closeLater(PeerFault);

    std::shared_ptr<PeerRuntime> m_runtime;
    Endpoint m_endpoint;
    std::shared_ptr<std::mt19937_64> m_random;
    Backoff m_backoff { PeerClient::s_reconnectBase, PeerClient::s_reconnectCap };
    boost::asio::steady_timer m_connectTimer;
    MonotonicTime m_connectNotBefore;
    MonotonicTime m_lastUsed;
    std::list<RunningPointer> m_calls;
    std::unique_ptr<Session> m_session;
    /// Counts the sessions, so that a late event of an earlier one is told apart.
    std::uint64_t m_sessionNumber = 0;
    bool m_isConnecting = false;
    /// The socket while it connects; closed with the connection, since the system may try for minutes.
    std::shared_ptr<boost::asio::ip::tcp::socket> m_connectingSocket;
};

}
