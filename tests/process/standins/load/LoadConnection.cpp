#include "LoadConnection.h"

#include "backend/Report.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

namespace carobpath::standins {

std::string targetOf(const LoadCall& call)
{
    const char separator = call.kind.target.find('?') == std::string::npos ? '?' : '&';
    return call.kind.target + separator + "call=" + std::to_string(call.number);
}

LoadConnection::LoadConnection(boost::asio::io_context& context, tcp::endpoint endpoint)
    : m_endpoint(std::move(endpoint))
    , m_stream(context)
{
}

void LoadConnection::make(LoadCall call, Callback callback)
{
    m_call = std::move(call);
    m_callback = std::move(callback);
    m_request = Request(m_call.kind.method, targetOf(m_call), 11);
    m_request.set(http::field::host, m_call.kind.host);
    if (!m_call.key.empty())
        m_request.set("Idempotency-Key", m_call.key);
    if (m_call.kind.method == http::verb::post)
        m_request.body() = "body of call " + std::to_string(m_call.number);
    m_request.prepare_payload();
    m_stream.expires_after(m_call.timeout);
    if (m_isConnected) {
        write();
        return;
    }
    m_stream.async_connect(m_endpoint, [self = shared_from_this()](boost::system::error_code ec) {
        self->m_isConnected = !ec;
        if (ec) {
            self->finish(ec);
            return;
        }
        boost::system::error_code ignored;
        self->m_stream.socket().set_option(tcp::no_delay(true), ignored);
        self->write();
    });
}

void LoadConnection::write()
{
    http::async_write(m_stream, m_request, [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        if (ec)
            self->finish(ec);
        else
            self->read();
    });
}

void LoadConnection::read()
{
    m_parser.emplace();
    m_parser->body_limit(HttpSession::s_bodyLimit);
    http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        self->finish(ec);
    });
}

void LoadConnection::finish(boost::system::error_code ec)
{
    const Response response = ec ? Response() : m_parser->release();
    LoadResult result = ec ? LoadResult() : resultOf(response);
    result.call = m_call.number;
    result.method = http::to_string(m_call.kind.method);
    result.target = targetOf(m_call);
    result.error = ec ? ec.message() : "";
    result.latency = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - m_call.dueAt);
    m_stream.expires_never();
    const bool isReusable = !ec && response.keep_alive();
    std::exchange(m_callback, nullptr)(result, isReusable);
}

LoadResult LoadConnection::resultOf(const Response& response) const
{
    LoadResult result;
    result.status = response.result_int();
    result.outcome = std::string(response["Carobpath-Outcome"]);
    result.reason = std::string(response["Carobpath-Reason"]);
    result.requestId = std::string(response["Carobpath-Request-Id"]);
    result.version = std::string(response["X-Version"]);
    result.isOwnAnswer = isOwnAnswer(response);
    return result;
}

bool LoadConnection::isOwnAnswer(const Response& response) const
{
    if (response.result() != http::status::ok)
        return true;
    const std::string target = targetOf(m_call);
    if (response[http::field::content_type] == "application/octet-stream")
        return response.body() == reportBytes(std::string(pathOf(target)), 0, queryNumber(target, "bytes", 1 << 20));
    const auto body = nlohmann::json::parse(response.body(), nullptr, false);
    return body.is_object() && body.value("path", "") == target && body.value("body", "") == m_request.body();
}

}
