#include "AsioStream.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace carobpath::peer {

namespace {

    constexpr int keepAliveIdleSeconds = 10;
    constexpr int keepAliveIntervalSeconds = 5;
    constexpr int keepAliveProbes = 3;
    constexpr int userTimeoutMilliseconds = 10000;

    kj::Exception disconnected(const boost::system::error_code& ec)
    {
        return kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::heapString(ec.message().c_str()));
    }

    void setTcpOption(boost::asio::ip::tcp::socket& socket, int name, int value)
    {
        // A system that lacks an option still has the timeout of each call.
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, sizeof value);
    }

}

void setPeerSocketOptions(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ec);
    setTcpOption(socket, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setTcpOption(socket, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setTcpOption(socket, TCP_KEEPCNT, keepAliveProbes);
    setTcpOption(socket, TCP_USER_TIMEOUT, userTimeoutMilliseconds);
}

struct AsioStream::State {
    explicit State(boost::asio::ip::tcp::socket it)
        : socket(std::move(it))
    {
    }

    std::size_t available() const { return end - begin; }

    std::size_t copyOut(void* target, std::size_t maxBytes)
    {
        const std::size_t count = std::min(maxBytes, available());
        std::memcpy(target, buffer.data() + begin, count);
        begin += count;
        return count;
    }

    /// Makes room for at least so many bytes after those that wait.
    void makeRoom(std::size_t bytes)
    {
        std::memmove(buffer.data(), buffer.data() + begin, available());
        end -= begin;
        begin = 0;
        buffer.resize(std::max(end + bytes, s_readAhead));
    }

    boost::asio::ip::tcp::socket socket;
    std::vector<kj::byte> buffer = std::vector<kj::byte>(s_readAhead);
    std::size_t begin = 0;
    std::size_t end = 0;
};

AsioStream::AsioStream(boost::asio::ip::tcp::socket socket)
    : m_state(std::make_shared<State>(std::move(socket)))
{
}

AsioStream::~AsioStream()
{
    boost::system::error_code ec;
    m_state->socket.close(ec);
}

kj::Promise<std::size_t> AsioStream::tryRead(void* buffer, std::size_t minBytes, std::size_t maxBytes)
{
    if (m_state->available() >= minBytes)
        return m_state->copyOut(buffer, maxBytes);
    const std::size_t missing = minBytes - m_state->available();
    m_state->makeRoom(missing);
    auto paf = kj::newPromiseAndFulfiller<std::size_t>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<std::size_t>>>(kj::mv(paf.fulfiller));
    const auto room = boost::asio::buffer(m_state->buffer.data() + m_state->end, m_state->buffer.size() - m_state->end);
    const auto onRead = [state = m_state, fulfiller, buffer, maxBytes](const boost::system::error_code& ec, std::size_t count) {
        state->end += count;
        if (!(*fulfiller)->isWaiting())
            return;
        if (ec && ec != boost::asio::error::eof)
            (*fulfiller)->reject(disconnected(ec));
        else
            (*fulfiller)->fulfill(state->copyOut(buffer, maxBytes));
    };
    boost::asio::async_read(m_state->socket, room, boost::asio::transfer_at_least(missing), onRead);
    return kj::mv(paf.promise);
}

kj::Promise<void> AsioStream::write(const void* buffer, std::size_t size)
{
    const auto* first = static_cast<const kj::byte*>(buffer);
    return writeAll(std::vector<kj::byte>(first, first + size));
}

kj::Promise<void> AsioStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    std::vector<kj::byte> bytes;
    for (const auto& it : pieces)
        bytes.insert(bytes.end(), it.begin(), it.end());
    return writeAll(std::move(bytes));
}

kj::Promise<void> AsioStream::writeAll(std::vector<kj::byte> bytes)
{
    auto paf = kj::newPromiseAndFulfiller<void>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(paf.fulfiller));
    auto owned = std::make_shared<std::vector<kj::byte>>(std::move(bytes));
    const auto onWritten = [state = m_state, fulfiller, owned](const boost::system::error_code& ec, std::size_t) {
        if (!(*fulfiller)->isWaiting())
            return;
        if (ec)
            (*fulfiller)->reject(disconnected(ec));
        else
            (*fulfiller)->fulfill();
    };
    boost::asio::async_write(m_state->socket, boost::asio::buffer(*owned), onWritten);
    return kj::mv(paf.promise);
}

kj::Promise<void> AsioStream::whenWriteDisconnected()
{
    return kj::NEVER_DONE;
}

void AsioStream::shutdownWrite()
{
    boost::system::error_code ec;
    m_state->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
}

void AsioStream::abortRead()
{
    boost::system::error_code ec;
    m_state->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_receive, ec);
}

}
