#include "ScriptedServer.h"
#include "internal/ResumingBody.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <string>

namespace carobpath::gateway::Detail {

using namespace std::chrono_literals;

namespace {

    const std::string cutAnswer = "HTTP/1.1 200 OK\r\nETag: \"a\"\r\nContent-Length: 10\r\n\r\n01234";

    struct RestRow {
        const char* name;
        std::string rest;
        bool whole;
    };

    const std::array restRows {
        RestRow { "the rest", "HTTP/1.1 206 Partial Content\r\nETag: \"a\"\r\nContent-Range: bytes 5-9/10\r\nContent-Length: 5\r\n\r\n56789", true },
        RestRow { "another body", "HTTP/1.1 206 Partial Content\r\nETag: \"b\"\r\nContent-Range: bytes 5-9/10\r\nContent-Length: 5\r\n\r\n56789", false },
        RestRow { "another range", "HTTP/1.1 206 Partial Content\r\nETag: \"a\"\r\nContent-Range: bytes 4-9/10\r\nContent-Length: 6\r\n\r\n456789", false },
        RestRow { "the whole again", "HTTP/1.1 200 OK\r\nETag: \"a\"\r\nContent-Length: 10\r\n\r\n0123456789", false },
        RestRow { "an error", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", false },
        RestRow { "nothing", "", false },
    };

    /// Reads a body whose first part comes from one server and whose rest is asked for at another.
    class TwoServers {
    public:
        explicit TwoServers(std::string rest)
            : m_first(m_context, cutAnswer, ScriptEnd::Close)
            , m_second(m_context, std::move(rest), ScriptEnd::Close)
        {
        }

        void run()
        {
            auto first = exchangeWith(m_first, [this](const auto& exchange) { relay(exchange); });
            while (!m_ended)
                m_context.run_one();
        }

        const std::string& body() const { return m_body; }
        bool whole() const { return m_whole; }

    private:
        using ExchangePointer = ResumingBody::ExchangePointer;

        template <typename OnHeader>
        ExchangePointer exchangeWith(ScriptedServer& server, OnHeader onHeader)
        {
            auto exchange = std::make_shared<UpstreamExchange>(m_pool, m_limits);
            auto request = std::make_shared<Request>(http::verb::get, "/", 11);
            ExchangeTarget target;
            target.endpoint = server.endpoint();
            target.headerDeadline = MonotonicClock::now() + 5s;
            exchange->start(target, request, [exchange, onHeader](std::optional<ExchangeFailure> failure) { onHeader(failure ? nullptr : exchange); });
            return exchange;
        }

        void relay(const ExchangePointer& exchange)
        {
            const auto known = resumableBodyOf(*exchange);
            BOOST_REQUIRE(known);
            m_source = std::make_shared<ResumingBody>(exchange, *known, [this](const ResumableBody& body, std::uint64_t from, auto handOver) {
                exchangeWith(m_second, [body, from, handOver](const ExchangePointer& rest) {
                    handOver(rest && isRestOf(body, from, rest->header()) ? rest : nullptr);
                });
            });
            read();
        }

        void read()
        {
            m_source->readBody([this](std::optional<ExchangeFailure> failure, std::string_view piece) {
                m_body += piece;
                m_ended = failure || piece.empty();
                m_whole = m_ended && !failure;
                if (!m_ended)
                    read();
            });
        }

        boost::asio::io_context m_context;
        GatewayLimits m_limits;
        ConnectionPool m_pool { m_context, m_limits };
        ScriptedServer m_first;
        ScriptedServer m_second;
        std::shared_ptr<ResumingBody> m_source;
        std::string m_body;
        bool m_ended = false;
        bool m_whole = false;
    };

}

BOOST_AUTO_TEST_SUITE(ResumingBodies)

BOOST_AUTO_TEST_CASE(A_body_cut_short_is_whole_only_where_the_rest_belongs_to_it)
{
    for (const auto& row : restRows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            TwoServers servers { row.rest };
            servers.run();
            BOOST_TEST(servers.whole() == row.whole);
            BOOST_TEST(servers.body() == (row.whole ? "0123456789" : "01234"));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
