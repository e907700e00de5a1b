#include "internal/AdminClient.h"

#include "carobpath/foundation/EnumTable.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace carobpath::client::Detail {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;

    constexpr std::uint64_t maximumBodyBytes = 16UL * 1024 * 1024;
    /// Maximum number of unparsed bytes of the answer.
    constexpr std::size_t maximumBufferBytes = 128UL * 1024;
    constexpr unsigned statusOk = 200;
    constexpr unsigned statusNotFound = 404;

    constexpr std::array<EnumRow<AdminFailure>, 3> failures { {
        { AdminFailure::Unreachable, "unreachable" },
        { AdminFailure::TimedOut, "timed-out" },
        { AdminFailure::Malformed, "malformed" },
    } };

    /// One GET, run to its end on a context of its own.
    class Get {
    public:
        Get(const Endpoint& endpoint, const std::string& target)
            : m_request(http::verb::get, target, 11)
        {
            m_request.set(http::field::host, toString(endpoint));
            m_parser.body_limit(maximumBodyBytes);
        }

        AdminResult run(const Endpoint& endpoint, std::chrono::milliseconds timeout)
        {
            boost::system::error_code ec;
            const auto address = asio::ip::make_address(endpoint.address, ec);
            if (ec)
                return AdminFailure::Unreachable;
            m_stream.expires_after(timeout);
            m_stream.async_connect({ address, endpoint.port }, [this](beast::error_code error) { onConnected(error); });
            m_io.run();
            if (m_error)
                return m_error == beast::error::timeout ? AdminFailure::TimedOut : AdminFailure::Unreachable;
            auto body = nlohmann::json::parse(m_parser.get().body(), nullptr, false);
            if (body.is_discarded())
                return AdminFailure::Malformed;
            return AdminAnswer { m_parser.get().result_int(), std::move(body) };
        }

    private:
        void onConnected(beast::error_code error)
        {
            m_error = error;
            if (error)
                return;
            http::async_write(m_stream, m_request, [this](beast::error_code written, std::size_t) { onWritten(written); });
        }

        void onWritten(beast::error_code error)
        {
            m_error = error;
            if (!error)
                http::async_read(m_stream, m_buffer, m_parser, [this](beast::error_code read, std::size_t) { m_error = read; });
        }

        asio::io_context m_io { 1 };
        beast::tcp_stream m_stream { m_io };
        http::request<http::empty_body> m_request;
        beast::flat_buffer m_buffer { maximumBufferBytes };
        http::response_parser<http::string_body> m_parser;
        beast::error_code m_error;
    };

}

std::string_view toString(AdminFailure it) { return enumText(failures, it); }

AdminResult adminGet(const Endpoint& endpoint, const std::string& target, std::chrono::milliseconds timeout)
{
    return Get { endpoint, target }.run(endpoint, timeout);
}

std::optional<AdminAnswer> firstAnswer(const std::vector<Endpoint>& nodes, const std::string& target, std::chrono::milliseconds timeout)
{
    for (const auto& node : nodes) {
        auto result = adminGet(node, target, timeout);
        auto* answer = std::get_if<AdminAnswer>(&result);
        if (answer && (answer->status == statusOk || answer->status == statusNotFound))
            return std::move(*answer);
    }
    return std::nullopt;
}

std::optional<publication::Offset> configurationOffset(const nlohmann::json& status)
{
    const auto configuration = status.is_object() ? status.value("configuration", nlohmann::json {}) : nlohmann::json {};
    if (!configuration.is_object() || !configuration.contains("offset") || !configuration["offset"].is_number_unsigned())
        return std::nullopt;
    return configuration["offset"].get<publication::Offset>();
}

}
