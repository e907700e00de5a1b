#include "PeerConnection.h"

#include "AsioStream.h"
#include "ReadMessage.h"

#include <boost/asio/post.hpp>

#include <capnp/rpc-twoparty.h>

namespace carobpath::peer {

namespace {

    using boost::asio::ip::tcp;
    using capnp::rpc::twoparty::VatId;

    PeerFault faultOf(const kj::Exception& exception)
    {
        return exception.getType() == kj::Exception::Type::DISCONNECTED ? PeerFault::Disconnected : PeerFault::MalformedAnswer;
    }

    schema::Peer::Client bootstrap(capnp::RpcSystem<VatId>& rpc)
    {
        capnp::MallocMessageBuilder message;
        auto server = message.initRoot<VatId>();
        server.setSide(capnp::rpc::twoparty::Side::SERVER);
        return rpc.bootstrap(server).castAs<schema::Peer>();
    }

}

struct PeerConnection::Session {
    explicit Session(tcp::socket socket)
        : stream(std::move(socket))
        , network(stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions())
        , rpc(capnp::makeRpcClient(network))
        , peer(bootstrap(rpc))
    {
    }

    AsioStream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<VatId> rpc;
    schema::Peer::Client peer;
    kj::Promise<void> disconnected = nullptr;
};

PeerConnection::PeerConnection(std::shared_ptr<PeerRuntime> runtime, Endpoint endpoint, std::shared_ptr<std::mt19937_64> random)
    : m_runtime(std::move(runtime))
    , m_endpoint(std::move(endpoint))
    , m_random(std::move(random))
    , m_connectTimer(m_runtime->context())
    , m_connectNotBefore(MonotonicClock::now())
    , m_lastUsed(m_connectNotBefore)
{
}

PeerConnection::~PeerConnection() = default;

void PeerConnection::submit(PeerCall call)
{
    m_lastUsed = MonotonicClock::now();
    const auto timeout = call.timeout;
    const auto running = std::make_shared<Running>(std::move(call), m_runtime->context());
    m_calls.push_back(running);
    running->timer.expires_after(timeout);
    running->timer.async_wait([self = weak_from_this(), running](const boost::system::error_code& ec) {
        const auto it = self.lock();
        if (!ec && it)
            it->onTimeout(running);
    });
    if (m_session)
        send(running);
    else if (!m_isConnecting)
        connectLater();
}

void PeerConnection::connectLater()
{
    m_isConnecting = true;
    m_connectTimer.expires_at(m_connectNotBefore);
    m_connectTimer.async_wait([self = weak_from_this()](const boost::system::error_code& ec) {
        const auto it = self.lock();
        if (!ec && it && it->m_isConnecting)
            it->connect();
    });
}

void PeerConnection::connect()
{
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(m_endpoint.address, ec);
    if (ec) {
        close(PeerFault::ConnectFailed);
        return;
    }
    const auto socket = std::make_shared<tcp::socket>(m_runtime->context());
    m_connectingSocket = socket;
    const auto number = ++m_sessionNumber;
    socket->async_connect(tcp::endpoint(address, m_endpoint.port), [self = weak_from_this(), socket, number](const boost::system::error_code& result) {
        const auto it = self.lock();
        if (it && it->m_isConnecting && it->m_sessionNumber == number)
            it->onConnected(result, socket);
    });
}

void PeerConnection::onConnected(const boost::system::error_code& ec, const std::shared_ptr<tcp::socket>& socket)
{
    m_isConnecting = false;
    m_connectingSocket.reset();
    if (ec) {
        close(PeerFault::ConnectFailed);
        return;
    }
    setPeerSocketOptions(*socket);
    m_session = std::make_unique<Session>(std::move(*socket));
    const auto onGone = [self = weak_from_this(), number = m_sessionNumber] {
        const auto it = self.lock();
        if (it && it->m_sessionNumber == number)
            it->closeLater(PeerFault::Disconnected);
    };
    m_session->disconnected = m_session->network.onDisconnect().then(kj::cp(onGone), [onGone](kj::Exception&&) { onGone(); }).eagerlyEvaluate(nullptr);
    sendWaiting();
}

void PeerConnection::sendWaiting()
{
    const auto waiting = m_calls;
    for (const auto& it : waiting) {
        if (!it->isSent && !it->hasEnded)
            send(it);
    }
}

void PeerConnection::send(const RunningPointer& running)
{
    running->isSent = true;
    const auto self = weak_from_this();
    const std::weak_ptr<Running> weak = running;
    const auto onDone = [self, weak] {
        const auto it = self.lock();
        const auto ended = weak.lock();
        if (!it || !ended)
            return;
        it->m_backoff.reset();
        it->end(ended);
    };
    const auto onFailed = [self, weak](kj::Exception&& exception) {
        const auto it = self.lock();
        const auto ended = weak.lock();
        if (it && ended)
            it->fail(ended, faultOf(exception));
    };
    running->promise = running->call.send(m_session->peer).then(kj::cp(onDone), kj::cp(onFailed)).eagerlyEvaluate(nullptr);
}

void PeerConnection::onTimeout(const RunningPointer& running)
{
    if (running->hasEnded)
        return;
    fail(running, PeerFault::TimedOut);
    // The connection may have fallen silent for good: the next call gets a fresh one.
    close(PeerFault::Disconnected);
}

void PeerConnection::end(const RunningPointer& running)
{
    if (running->hasEnded)
        return;
    running->hasEnded = true;
    running->timer.cancel();
    m_calls.remove(running);
    // Its promise may be running now, so it is dropped later.
    m_runtime->dispose(std::make_shared<kj::Promise<void>>(std::exchange(running->promise, nullptr)));
}

void PeerConnection::fail(const RunningPointer& running, PeerFault fault)
{
    if (running->hasEnded)
        return;
    end(running);
    running->call.failed(PeerError { fault });
}

void PeerConnection::closeLater(PeerFault fault)
{
    boost::asio::post(m_runtime->context(), [self = weak_from_this(), number = m_sessionNumber, fault] {
        const auto it = self.lock();
        if (it && it->m_sessionNumber == number)
            it->close(fault);
    });
}

void PeerConnection::close(PeerFault fault)
{
    ++m_sessionNumber;
    m_isConnecting = false;
    m_connectTimer.cancel();
    if (const auto socket = std::exchange(m_connectingSocket, nullptr)) {
        boost::system::error_code ec;
        socket->close(ec);
    }
    m_connectNotBefore = MonotonicClock::now() + m_backoff.next(*m_random);
    const auto calls = std::exchange(m_calls, {});
    const auto session = std::exchange(m_session, nullptr);
    for (const auto& it : calls)
        it->promise = nullptr;
    for (const auto& it : calls)
        fail(it, fault);
}

}
