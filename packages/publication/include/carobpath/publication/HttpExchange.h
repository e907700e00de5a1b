#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace carobpath::publication::Detail {

using StreamPointer = std::unique_ptr<boost::beast::tcp_stream>;

/// A request and the limits for its exchange.
struct HttpRequest {
    boost::beast::http::verb method = boost::beast::http::verb::get;
    std::string target;
    std::string body;
    std::chrono::milliseconds connectTimeout {};
    /// Time from the request to the end of the answer's header.
    std::chrono::milliseconds answerTimeout {};
    /// Longest pause between two pieces of the answer's body.
    std::chrono::milliseconds silenceTimeout {};
    /// Time for the whole body, so that one that never ends is given up.
    std::chrono::milliseconds bodyTimeout {};
    std::size_t answerBytes = 0;
    /// Header field of the answer that is returned in \c HttpAnswer::field; may be empty.
    std::string answerField;
    /// Called when the header of the answer has arrived; may be empty.
    std::function<void()> onAnswerBegun;
};

struct HttpAnswer {
    unsigned status = 0;
    std::string body;
    /// Value of the header field \c HttpRequest::answerField; empty if the answer has none.
    std::string field;
    /// The connection if it can be reused for another exchange, otherwise null.
    StreamPointer reusable;
};

enum class HttpFailure : std::uint8_t {
    /// No byte of the request was sent.
    NotSent,
    /// The connection was closed before the answer was complete.
    NoAnswer,
    TimedOut,
    AnswerTooLarge,
};

using HttpResult = std::variant<HttpAnswer, HttpFailure>;
using HttpHandler = std::function<void(HttpResult)>;

/// One HTTP request and its answer on one connection. The object keeps itself alive until its handler has run.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
    /// Bytes of one read of the body. Each read waits for a turn of the thread, so small ones make a large answer late.
    static constexpr std::size_t s_readBytes = 64ULL * 1024;

    HttpExchange(const boost::asio::any_io_executor&, Endpoint, HttpRequest, HttpHandler);

    /// Connects and sends the request.
    void start();
    /// Sends the request over an idle connection.
    void startOn(StreamPointer);
    /// Ends the exchange without calling its handler.
    void cancel();

private:
    /// Maximum number of unparsed bytes. A header, a trailer or the header of a chunk stays unparsed until it is complete.
    static constexpr std::size_t s_bufferBytes = 128ULL * 1024;

    void send();
    void receiveHeader();
    void receiveBody();
    void onReceiveFailed(boost::beast::error_code);
    void onAnswer();
    void finish(HttpResult);

    StreamPointer m_stream;
    Endpoint m_endpoint;
    HttpRequest m_parameters;
    HttpHandler m_handler;
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    boost::beast::flat_buffer m_buffer { s_bufferBytes };
    boost::beast::http::response_parser<boost::beast::http::string_body> m_parser;
    MonotonicTime m_bodyDeadline;
};

}
