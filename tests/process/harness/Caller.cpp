#include "Caller.h"

#include "common/HttpCall.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace carobpath::harness {

using namespace standins;

namespace {

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return text;
    }

    CallerAnswer answerOf(const Response& response)
    {
        CallerAnswer answer;
        answer.status = response.result_int();
        answer.body = response.body();
        for (const auto& field : response)
            answer.headers[lowerCase(std::string(field.name_string()))] = std::string(field.value());
        return answer;
    }

}

std::string CallerAnswer::header(const std::string& lowerCaseName) const
{
    const auto it = headers.find(lowerCaseName);
    return it == headers.end() ? "" : it->second;
}

CallerAnswer call(const std::string& endpoint, const CallerRequest& wanted)
{
    boost::asio::io_context context;
    Request request(http::string_to_verb(wanted.method), wanted.target, 11);
    request.body() = wanted.body;
    for (const auto& [name, value] : wanted.headers)
        request.set(name, value);
    CallerAnswer answer;
    HttpCall::start(context, endpointFromText(endpoint), std::move(request), wanted.host, wanted.timeout, [&](boost::system::error_code ec, const Response& response) {
        if (ec)
            answer.error = ec.message();
        else
            answer = answerOf(response);
    });
    context.run();
    return answer;
}

std::string exchangeBytes(const std::string& endpoint, const std::string& bytes, std::chrono::milliseconds timeout, bool halfClose)
{
    boost::asio::io_context context;
    boost::beast::tcp_stream stream(context);
    stream.connect(endpointFromText(endpoint));
    boost::system::error_code ignored;
    boost::asio::write(stream.socket(), boost::asio::buffer(bytes), ignored);
    if (halfClose)
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    std::string received;
    stream.expires_after(timeout);
    boost::asio::async_read(stream, boost::asio::dynamic_buffer(received), [](boost::system::error_code, std::size_t) {});
    context.run();
    return received;
}

}
