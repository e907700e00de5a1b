#include "carobpath/peer/PeerServer.h"

#include "internal/AsioStream.h"
#include "internal/PeerService.h"
#include "internal/ReadMessage.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <capnp/rpc-twoparty.h>

#include <map>

namespace carobpath::peer {

namespace {

    using boost::asio::ip::tcp;

    constexpr std::chrono::seconds sweepInterval { 10 };
    constexpr std::chrono::milliseconds acceptRetryDelay { 100 };

    struct ServedConnection {
        ServedConnection(tcp::socket socket, const std::shared_ptr<const PeerHooks>& hooks)
            : stream(std::move(socket))
            , network(stream, capnp::rpc::twoparty::Side::SERVER, readerOptions())
            , rpc(capnp::makeRpcServer(network, kj::heap<PeerService>(hooks, lastUsed)))
        {
        }

        std::shared_ptr<MonotonicTime> lastUsed = std::make_shared<MonotonicTime>(MonotonicClock::now());
        AsioStream stream;
        capnp::TwoPartyVatNetwork network;
        capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
        kj::Promise<void> disconnected = nullptr;
    };

}

struct PeerServer::Impl : std::enable_shared_from_this<Impl> {
    Impl(std::shared_ptr<PeerRuntime> it, const Endpoint& endpoint, PeerHooks hooksGiven)
        : runtime(std::move(it))
        , hooks(std::make_shared<const PeerHooks>(std::move(hooksGiven)))
        , acceptor(runtime->context(), tcp::endpoint(boost::asio::ip::make_address(endpoint.address), endpoint.port))
        , timer(runtime->context())
    {
    }

    void accept()
    {
        acceptor.async_accept([self = weak_from_this()](const boost::system::error_code& ec, tcp::socket socket) {
            if (const auto it = self.lock())
                it->onAccepted(ec, std::move(socket));
        });
    }

    void onAccepted(const boost::system::error_code& ec, tcp::socket socket)
    {
        if (stopped)
            return;
        if (ec) {
            // Out of file descriptors, most likely: accepting again at once would spin.
            retryAcceptLater();
            return;
        }
        if (connections.size() < s_maxConnections)
            serve(std::move(socket));
        accept();
    }

    void retryAcceptLater()
    {
        auto retry = std::make_shared<boost::asio::steady_timer>(runtime->context(), acceptRetryDelay);
        retry->async_wait([self = weak_from_this(), retry](const boost::system::error_code&) {
            const auto it = self.lock();
            if (it && !it->stopped)
                it->accept();
        });
    }

    void serve(tcp::socket socket)
    {
        setPeerSocketOptions(socket);
        const std::uint64_t id = ++lastId;
        auto connection = std::make_unique<ServedConnection>(std::move(socket), hooks);
        const auto onGone = [self = weak_from_this(), id] {
            if (const auto it = self.lock())
                it->dropLater(id);
        };
        connection->disconnected = connection->network.onDisconnect().then(kj::cp(onGone), [onGone](kj::Exception&&) { onGone(); }).eagerlyEvaluate(nullptr);
        connections.emplace(id, std::move(connection));
    }

    /// A connection is not destroyed within one of its own events.
    void dropLater(std::uint64_t id)
    {
        boost::asio::post(runtime->context(), [self = weak_from_this(), id] {
            if (const auto it = self.lock())
                it->connections.erase(id);
        });
    }

    void sweep()
    {
        timer.expires_after(sweepInterval);
        timer.async_wait([self = weak_from_this()](const boost::system::error_code& ec) {
            const auto it = self.lock();
            if (ec || !it || it->stopped)
                return;
            const auto now = MonotonicClock::now();
            std::erase_if(it->connections, [now](const auto& entry) { return now - *entry.second->lastUsed >= s_idleTimeout; });
            it->sweep();
        });
    }

    void stop()
    {
        stopped = true;
        boost::system::error_code ec;
        acceptor.close(ec);
        timer.cancel();
        connections.clear();
    }

    std::shared_ptr<PeerRuntime> runtime;
    std::shared_ptr<const PeerHooks> hooks;
    tcp::acceptor acceptor;
    boost::asio::steady_timer timer;
    std::map<std::uint64_t, std::unique_ptr<ServedConnection>> connections;
    std::uint64_t lastId = 0;
    bool stopped = false;
};

PeerServer::PeerServer(std::shared_ptr<PeerRuntime> runtime, const Endpoint& endpoint, PeerHooks hooks)
    : m_impl(std::make_shared<Impl>(std::move(runtime), endpoint, std::move(hooks)))
{
    m_impl->accept();
    m_impl->sweep();
}

PeerServer::~PeerServer()
{
    try {
        m_impl->stop();
    } catch (...) {
        // What could not be closed in order is closed by the destruction of its parts.
        m_impl->stopped = true;
    }
}

Endpoint PeerServer::endpoint() const
{
    const auto local = m_impl->acceptor.local_endpoint();
    return Endpoint { local.address().to_string(), local.port() };
}

void PeerServer::stop()
{
    m_impl->stop();
}

}
