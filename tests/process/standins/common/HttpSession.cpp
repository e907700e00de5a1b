#include "HttpSession.h"

#include "carobpath/foundation/SettingParsers.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>

namespace carobpath::standins {

HttpSession::HttpSession(tcp::socket socket, Handler handler)
    : m_socket(std::move(socket))
    , m_handler(std::move(handler))
    , m_timer(m_socket.get_executor())
{
}

void HttpSession::start()
{
    boost::system::error_code ec;
    m_socket.set_option(tcp::no_delay(true), ec);
    read();
}

void HttpSession::read()
{
    m_parser.emplace();
    m_parser->body_limit(s_bodyLimit);
    http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        if (ec)
            return;
        self->m_request = self->m_parser->release();
        self->m_onClosed = nullptr;
        self->m_onWritten = nullptr;
        self->m_isAwaitingAnswer = true;
        ++self->m_sequence;
        self->watchForClose();
        self->m_handler(self);
    });
}

void HttpSession::watchForClose()
{
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(), sequence = m_sequence](boost::system::error_code ec) {
        if (sequence != self->m_sequence || !self->m_isAwaitingAnswer)
            return;
        char byte = 0;
        const bool hasBytes = !ec && ::recv(self->m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
        if (!hasBytes)
            self->closed();
    });
}

void HttpSession::closed()
{
    m_isAwaitingAnswer = false;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    if (const auto callback = std::exchange(m_onClosed, nullptr))
        callback();
    if (const auto callback = std::exchange(m_onWritten, nullptr))
        callback();
}

void HttpSession::respond(Response response)
{
    if (!m_isAwaitingAnswer)
        return;
    const bool keepAlive = m_request.keep_alive();
    response.version(m_request.version());
    response.keep_alive(keepAlive);
    response.prepare_payload();
    if (m_request.method() == http::verb::head)
        response.body().clear();
    std::ostringstream text;
    text << response.base() << response.body();
    m_out = text.str();
    writeText(keepAlive);
}

void HttpSession::respondShort(Response response, std::size_t bodyBytes)
{
    if (!m_isAwaitingAnswer)
        return;
    response.version(m_request.version());
    response.prepare_payload();
    std::ostringstream text;
    text << response.base() << response.body().substr(0, bodyBytes);
    m_out = text.str();
    writeText(false);
}

void HttpSession::writeText(bool keepAlive)
{
    boost::asio::async_write(m_socket, boost::asio::buffer(m_out), [self = shared_from_this(), keepAlive](boost::system::error_code ec, std::size_t) {
        self->finishWrite(ec, keepAlive);
    });
}

void HttpSession::respond(Response header, BodyStream stream)
{
    if (!m_isAwaitingAnswer)
        return;
    m_stream = std::move(stream);
    header.version(m_request.version());
    header.keep_alive(m_request.keep_alive());
    header.content_length(m_stream.bytes);
    std::ostringstream text;
    text << header.base();
    m_out = text.str();
    boost::asio::async_write(m_socket, boost::asio::buffer(m_out), [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        const bool isHeadOnly = self->m_request.method() == http::verb::head;
        if (ec || isHeadOnly)
            self->finishWrite(ec, self->m_request.keep_alive());
        else
            self->writePiece(0);
    });
}

void HttpSession::writePiece(std::uint64_t offset)
{
    if (offset >= m_stream.bytes) {
        finishWrite({}, m_request.keep_alive());
        return;
    }
    const auto count = static_cast<std::size_t>(std::min<std::uint64_t>(m_stream.pieceBytes, m_stream.bytes - offset));
    m_out = m_stream.piece(offset, count);
    boost::asio::async_write(m_socket, boost::asio::buffer(m_out), [self = shared_from_this(), offset, count](boost::system::error_code ec, std::size_t) {
        const bool isLast = offset + count >= self->m_stream.bytes;
        if (ec || isLast) {
            self->finishWrite(ec, self->m_request.keep_alive());
            return;
        }
        self->m_timer.expires_after(self->m_stream.pieceInterval);
        self->m_timer.async_wait([self, next = offset + count](boost::system::error_code timerError) {
            if (!timerError)
                self->writePiece(next);
        });
    });
}

void HttpSession::finishWrite(boost::system::error_code ec, bool keepAlive)
{
    if (!m_isAwaitingAnswer)
        return;
    m_isAwaitingAnswer = false;
    m_onClosed = nullptr;
    if (const auto callback = std::exchange(m_onWritten, nullptr))
        callback();
    if (!ec && keepAlive) {
        read();
        return;
    }
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

void HttpSession::abandon()
{
    m_onClosed = nullptr;
    closed();
}

HttpServer::HttpServer(boost::asio::io_context& context, const tcp::endpoint& endpoint, HttpSession::Handler handler)
    : m_acceptor(context, endpoint)
    , m_handler(std::move(handler))
{
    accept();
}

void HttpServer::close()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!ec)
            std::make_shared<HttpSession>(std::move(socket), m_handler)->start();
        accept();
    });
}

Response jsonResponse(http::status status, std::string body)
{
    Response response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

std::string endpointText(const tcp::endpoint& endpoint)
{
    return toString(Endpoint { endpoint.address().to_string(), endpoint.port() });
}

tcp::endpoint endpointFromText(const std::string& text)
{
    const auto parsed = parseEndpoint(text);
    if (const auto* problem = std::get_if<SettingProblem>(&parsed))
        throw std::invalid_argument(text + " " + problem->detail);
    const auto& endpoint = std::get<Endpoint>(parsed);
    return { boost::asio::ip::make_address(endpoint.address), endpoint.port };
}

std::optional<std::string> queryParameter(std::string_view target, std::string_view name)
{
    auto start = target.find('?');
    while (start != std::string_view::npos) {
        const auto end = target.find('&', start + 1);
        const auto pair = target.substr(start + 1, end == std::string_view::npos ? end : end - start - 1);
        if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=')
            return std::string(pair.substr(name.size() + 1));
        start = end;
    }
    return std::nullopt;
}

std::uint64_t queryNumber(std::string_view target, std::string_view name, std::uint64_t fallback)
{
    const auto text = queryParameter(target, name);
    std::uint64_t number = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), number).ec != std::errc {})
        return fallback;
    return number;
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

}
