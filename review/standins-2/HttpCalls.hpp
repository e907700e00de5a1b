#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>

/// What the stand-ins of the second review share: addresses, one HTTP exchange, and the record of a case.
namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// Reads "IP:PORT".
inline tcp::endpoint endpointOf(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("no address: " + text);
    return { asio::ip::make_address(text.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))) };
}

/// A connection of a caller, which is kept for further requests while the other end keeps it.
class CallerConnection {
public:
    explicit CallerConnection(tcp::endpoint endpoint)
        : m_endpoint(std::move(endpoint))
    {
    }

    /// \returns the whole answer. Throws where the connection fails or the time is over; the next call then connects anew.
    asio::awaitable<Response> call(const Request& request, std::chrono::milliseconds timeout)
    {
        if (!m_stream)
            m_stream.emplace(co_await asio::this_coro::executor);
        auto& stream = *m_stream;
        stream.expires_after(timeout);
        try {
            if (!stream.socket().is_open())
                co_await stream.async_connect(m_endpoint, asio::use_awaitable);
            co_await http::async_write(stream, request, asio::use_awaitable);
            Response response;
            co_await http::async_read(stream, m_buffer, response, asio::use_awaitable);
            if (!response.keep_alive())
                close();
            co_return response;
        } catch (...) {
            close();
            throw;
        }
    }

    void close()
    {
        m_stream.reset();
        m_buffer.clear();
    }

private:
    tcp::endpoint m_endpoint;
    std::optional<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer;
};

/// Lines with the time of day in milliseconds, appended to a file that several processes write.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path, std::ios::app)
    {
    }

    void write(const std::string& line)
    {
        const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
        m_file << std::to_string(now.time_since_epoch().count()) + " " + line + "\n"
               << std::flush;
    }

private:
    std::ofstream m_file;
};

}
