#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace carobpath::standins {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// Body of an answer that is made piece by piece.
struct BodyStream {
    std::uint64_t bytes = 0;
    std::size_t pieceBytes = 16'384;
    std::chrono::milliseconds pieceInterval { 0 };
    /// \returns the bytes from an offset on.
    std::function<std::string(std::uint64_t offset, std::size_t count)> piece;
};

/// One accepted connection of a stand-in: reads a request, hands it over, and writes the answer whenever it comes.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    using Handler = std::function<void(std::shared_ptr<HttpSession>)>;

    static constexpr std::uint64_t s_bodyLimit = 64 << 20;

    HttpSession(tcp::socket, Handler);

    void start();

    const Request& request() const { return m_request; }

    /// Called at most once where the other side closes the connection before the request was answered.
    void onClosed(std::function<void()> callback) { m_onClosed = std::move(callback); }

    /// Called once when the answer was written, or could not be.
    void onWritten(std::function<void()> callback) { m_onWritten = std::move(callback); }

    void respond(Response);

    /// Announces the whole body, writes only its first bytes and closes the connection.
    void respondShort(Response, std::size_t bodyBytes);

    /// Writes the header, then the body piece by piece.
    void respond(Response header, BodyStream);

    /// Closes the connection without an answer.
    void abandon();

private:
    void read();
    void watchForClose();
    void closed();
    void writeText(bool keepAlive);
    void writePiece(std::uint64_t offset);
    void finishWrite(boost::system::error_code, bool keepAlive);

    tcp::socket m_socket;
    Handler m_handler;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    Request m_request;
    std::uint64_t m_sequence = 0;
    bool m_isAwaitingAnswer = false;
    std::string m_out;
    BodyStream m_stream;
    std::function<void()> m_onClosed;
    std::function<void()> m_onWritten;
};

/// Accepts connections on one address and starts a session for each.
class HttpServer {
public:
    HttpServer(boost::asio::io_context&, const tcp::endpoint&, HttpSession::Handler);

    tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }

    /// Accepts no further connection.
    void close();

private:
    void accept();

    tcp::acceptor m_acceptor;
    HttpSession::Handler m_handler;
};

/// \returns an answer with a JSON body.
Response jsonResponse(http::status, std::string body);

/// \returns "IP:PORT".
std::string endpointText(const tcp::endpoint&);

/// \returns the endpoint of "IP:PORT"; throws std::invalid_argument for any other text.
tcp::endpoint endpointFromText(const std::string&);

/// \returns the value of one parameter of a request target's query.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

/// \returns the whole number of one parameter, or the fallback.
std::uint64_t queryNumber(std::string_view target, std::string_view name, std::uint64_t fallback);

/// \returns the request target without its query.
std::string_view pathOf(std::string_view target);

}
