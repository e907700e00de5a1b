#include "internal/SocketOptions.h"

#include <boost/asio/ip/address.hpp>

#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace carobpath::gateway::Detail {

namespace {

    constexpr int keepAliveIdleSeconds = 5;
    constexpr int keepAliveIntervalSeconds = 2;
    constexpr int keepAliveProbes = 3;
    constexpr unsigned userTimeoutMilliseconds = 5000;

    enum class PeekResult {
        Nothing,
        Bytes,
        Closed,
    };

    PeekResult peek(boost::asio::ip::tcp::socket& socket)
    {
        char byte = 0;
        const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (n > 0)
            return PeekResult::Bytes;
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
            return PeekResult::Nothing;
        return PeekResult::Closed;
    }

}

void setConnectionOptions(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::ip::tcp::no_delay { true }, ec);
    socket.set_option(boost::asio::socket_base::keep_alive { true }, ec);
    const int fd = socket.native_handle();
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof keepAliveIdleSeconds);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds, sizeof keepAliveIntervalSeconds);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof keepAliveProbes);
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMilliseconds, sizeof userTimeoutMilliseconds);
}

bool hasPeerShutDown(boost::asio::ip::tcp::socket& socket)
{
    pollfd polled { socket.native_handle(), POLLRDHUP, 0 };
    return ::poll(&polled, 1, 0) > 0;
}

std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket& socket)
{
    int n = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &n) != 0 || n < 0)
        return 0;
    return static_cast<std::size_t>(n);
}

bool isOpenAndQuiet(boost::asio::ip::tcp::socket& socket)
{
    return peek(socket) == PeekResult::Nothing;
}

std::optional<boost::asio::ip::tcp::endpoint> toTcp(const Endpoint& endpoint)
{
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(endpoint.address, ec);
    if (ec)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint { address, endpoint.port };
}

Endpoint fromTcp(const boost::asio::ip::tcp::endpoint& endpoint)
{
    return Endpoint { endpoint.address().to_string(), endpoint.port() };
}

}
