#include "carobpath/publication/HttpExchange.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <utility>

namespace carobpath::publication::Detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

HttpExchange::HttpExchange(const asio::any_io_executor& executor, Endpoint endpoint, HttpRequest parameters, HttpHandler handler)
    : m_stream(std::make_unique<beast::tcp_stream>(executor))
    , m_endpoint(std::move(endpoint))
    , m_parameters(std::move(parameters))
    , m_handler(std::move(handler))
{
    m_request.method(m_parameters.method);
    m_request.target(m_parameters.target);
    m_request.version(11);
    m_request.set(http::field::host, toString(m_endpoint));
    m_request.body() = std::move(m_parameters.body);
    m_request.prepare_payload();
    m_parser.body_limit(m_parameters.answerBytes);
}

void HttpExchange::start()
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(m_endpoint.address, ec);
    if (ec) {
        // The handler must not run inside the call that starts the exchange.
        asio::post(m_stream->get_executor(), [self = shared_from_this()] { self->finish(HttpFailure::NotSent); });
        return;
    }
    m_stream->expires_after(m_parameters.connectTimeout);
    m_stream->async_connect({ address, m_endpoint.port }, [self = shared_from_this()](beast::error_code error) {
        if (error)
            return self->finish(HttpFailure::NotSent);
        boost::system::error_code ignored;
        self->m_stream->socket().set_option(asio::ip::tcp::no_delay { true }, ignored);
        self->send();
    });
}

void HttpExchange::startOn(StreamPointer stream)
{
    m_stream = std::move(stream);
    send();
}

void HttpExchange::cancel()
{
    m_handler = nullptr;
    if (m_stream)
        m_stream->close();
}

void HttpExchange::send()
{
    m_stream->expires_after(m_parameters.answerTimeout);
    http::async_write(*m_stream, m_request, [self = shared_from_this()](beast::error_code error, std::size_t sent) {
        if (!error)
            return self->receiveHeader();
        if (sent == 0)
            return self->finish(HttpFailure::NotSent);
        self->finish(error == beast::error::timeout ? HttpFailure::TimedOut : HttpFailure::NoAnswer);
    });
}

void HttpExchange::receiveHeader()
{
    http::async_read_header(*m_stream, m_buffer, m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
        if (error)
            return self->onReceiveFailed(error);
        self->m_bodyDeadline = MonotonicClock::now() + self->m_parameters.bodyTimeout;
        if (self->m_parameters.onAnswerBegun)
            self->m_parameters.onAnswerBegun();
        // Beast reads as much at a time as the buffer has room for, and gives it 512 bytes unless told otherwise.
        self->m_buffer.reserve(s_readBytes);
        self->receiveBody();
    });
}

void HttpExchange::receiveBody()
{
    if (m_parser.is_done())
        return onAnswer();
    m_stream->expires_at(std::min(MonotonicClock::now() + m_parameters.silenceTimeout, m_bodyDeadline));
    http::async_read_some(*m_stream, m_buffer, m_parser, [self = shared_from_this()](beast::error_code error, std::size_t) {
        if (error)
            return self->onReceiveFailed(error);
        self->receiveBody();
    });
}

void HttpExchange::onReceiveFailed(beast::error_code error)
{
    const bool isTooLarge = error == http::error::body_limit || error == http::error::buffer_overflow;
    if (isTooLarge)
        return finish(HttpFailure::AnswerTooLarge);
    finish(error == beast::error::timeout ? HttpFailure::TimedOut : HttpFailure::NoAnswer);
}

void HttpExchange::onAnswer()
{
    HttpAnswer answer;
    answer.status = m_parser.get().result_int();
    answer.body = std::move(m_parser.get().body());
    if (!m_parameters.answerField.empty())
        answer.field = std::string { m_parser.get()[m_parameters.answerField] };
    if (m_parser.keep_alive() && m_buffer.size() == 0) {
        m_stream->expires_never();
        answer.reusable = std::move(m_stream);
    }
    finish(std::move(answer));
}

void HttpExchange::finish(HttpResult result)
{
    if (const auto handler = std::exchange(m_handler, nullptr))
        handler(std::move(result));
}

}
