#include "internal/UpstreamExchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace carobpath::gateway::Detail {

using namespace std::chrono_literals;

namespace {

    using boost::asio::ip::tcp;

    /// Answers the first request of each connection with a start, then repeats a piece until the other end closes.
    class EndlessServer {
    public:
        EndlessServer(boost::asio::io_context& context, std::string start, std::string piece)
            : m_acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
            , m_start(std::move(start))
            , m_piece(std::move(piece))
        {
            accept();
        }

        Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }
        bool isClosed() const { return m_closed; }
        std::uint64_t sentBytes() const { return m_sent; }

    private:
        using Socket = std::shared_ptr<tcp::socket>;

        void accept()
        {
            m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket accepted) {
                if (ec)
                    return;
                const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
                socket->async_read_some(boost::asio::buffer(m_request), [this, socket](boost::system::error_code, std::size_t) { write(socket, m_start); });
                accept();
            });
        }

        void write(const Socket& socket, const std::string& bytes)
        {
            boost::asio::async_write(*socket, boost::asio::buffer(bytes), [this, socket](boost::system::error_code ec, std::size_t n) {
                m_sent += n;
                if (ec)
                    m_closed = true;
                else
                    write(socket, m_piece);
            });
        }

        tcp::acceptor m_acceptor;
        std::string m_start;
        std::string m_piece;
        std::array<char, 4096> m_request {};
        bool m_closed = false;
        std::uint64_t m_sent = 0;
    };

    /// One exchange with a server whose answer has no end.
    struct EndlessAnswer {
        boost::asio::io_context context;
        GatewayLimits limits;
        ConnectionPool pool { context, limits };
        EndlessServer server;
        std::shared_ptr<UpstreamExchange> exchange;
        std::optional<ExchangeFailure> headerFailure;
        std::optional<ExchangeFailure> bodyFailure;
        std::uint64_t bodyBytes = 0;
        bool ended = false;

        EndlessAnswer(std::string start, std::string piece)
            : server(context, std::move(start), std::move(piece))
        {
            limits.openBodyTime = 100ms;
        }

        void run(std::chrono::milliseconds deadline)
        {
            exchange = std::make_shared<UpstreamExchange>(pool, limits);
            auto request = std::make_shared<Request>(http::verb::get, "/", 11);
            request->set(http::field::host, "test");
            ExchangeTarget target;
            target.endpoint = server.endpoint();
            target.headerDeadline = MonotonicClock::now() + deadline;
            target.requestId = RequestId { "r-1" };
            exchange->start(target, request, [this](std::optional<ExchangeFailure> failure) {
                headerFailure = failure;
                ended = failure.has_value();
                if (!failure)
                    readBody();
            });
            const auto until = MonotonicClock::now() + 5s;
            while ((!ended || !server.isClosed()) && MonotonicClock::now() < until)
                context.run_one_for(10ms);
        }

        void readBody()
        {
            exchange->readBody([this](std::optional<ExchangeFailure> failure, std::string_view piece) {
                bodyFailure = failure;
                bodyBytes += piece.size();
                ended = failure || piece.empty();
                if (!ended)
                    readBody();
            });
        }
    };

    const std::string line = "X: " + std::string(100, 'x') + "\r\n";

    /// An answer whose framing has no end: what a parser cannot finish stays in the buffer of the connection.
    struct EndlessFraming {
        const char* part;
        std::string start;
        std::string piece;
    };

    const std::string chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    const std::array<EndlessFraming, 6> endlessFramings { {
        { "extension of the first chunk", chunkedHeader + "5;x=", std::string(1000, 'x') },
        { "extension of a later chunk", chunkedHeader + "5\r\nbytes\r\n5;x=", std::string(1000, 'x') },
        { "extension of the last chunk", chunkedHeader + "0;x=", std::string(1000, 'x') },
        { "digits of a chunk size", chunkedHeader, std::string(1000, '0') },
        { "trailer fields", chunkedHeader + "0\r\n", line },
        { "one trailer field", chunkedHeader + "5\r\nbytes\r\n0\r\nX: ", std::string(1000, 'x') },
    } };

    /// More than the buffers of the sockets at both ends and of the connection hold together.
    constexpr std::uint64_t mostSentBytes = 24ULL * 1024 * 1024;

}

// A server in trouble sends bytes without end, until the connection is closed.
BOOST_AUTO_TEST_SUITE(Endless_answers)

BOOST_AUTO_TEST_CASE(A_header_without_end_fails_once_it_is_too_large)
{
    EndlessAnswer answer { "HTTP/1.1 200 OK\r\n", line };
    answer.run(4s);
    BOOST_TEST((answer.headerFailure == ExchangeFailure::ConnectionLost));
    BOOST_TEST(answer.server.isClosed());
}

BOOST_AUTO_TEST_CASE(A_header_line_without_end_fails_once_it_is_too_large)
{
    EndlessAnswer answer { "HTTP/1.1 200 OK\r\nX: ", std::string(100, 'x') };
    answer.run(4s);
    BOOST_TEST((answer.headerFailure == ExchangeFailure::ConnectionLost));
    BOOST_TEST(answer.server.isClosed());
}

BOOST_AUTO_TEST_CASE(Bytes_that_are_no_answer_fail_at_once)
{
    EndlessAnswer answer { "", std::string(1000, '\x01') };
    answer.run(4s);
    BOOST_TEST((answer.headerFailure == ExchangeFailure::ConnectionLost));
    BOOST_TEST(answer.server.isClosed());
}

BOOST_AUTO_TEST_CASE(Interim_answers_without_end_last_no_longer_than_the_deadline)
{
    EndlessAnswer answer { "", "HTTP/1.1 102 Processing\r\n\r\n" };
    answer.run(200ms);
    BOOST_TEST((answer.headerFailure == ExchangeFailure::TimedOut));
    BOOST_TEST(answer.server.isClosed());
}

BOOST_AUTO_TEST_CASE(A_chunked_body_without_end_is_cut_some_time_past_the_deadline)
{
    EndlessAnswer answer { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nbytes\r\n" };
    answer.run(100ms);
    BOOST_TEST(!answer.headerFailure.has_value());
    BOOST_TEST((answer.bodyFailure == ExchangeFailure::ConnectionLost));
    BOOST_TEST(answer.server.isClosed());
}

// Guards against a faulty server whose bytes are all kept until the process is out of memory.
BOOST_AUTO_TEST_CASE(Framing_of_a_chunked_body_without_end_fails_once_it_is_too_large)
{
    for (const auto& it : endlessFramings) {
        BOOST_TEST_CONTEXT(it.part)
        {
            EndlessAnswer answer { it.start, it.piece };
            answer.run(4s);
            BOOST_TEST(!answer.headerFailure.has_value());
            BOOST_TEST((answer.bodyFailure == ExchangeFailure::ConnectionLost));
            BOOST_TEST(answer.server.isClosed());
            BOOST_TEST(answer.server.sentBytes() < mostSentBytes);
        }
    }
}

BOOST_AUTO_TEST_CASE(A_body_that_ends_with_its_connection_and_has_no_end_is_cut_some_time_past_the_deadline)
{
    EndlessAnswer answer { "HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x') };
    answer.run(100ms);
    BOOST_TEST((answer.bodyFailure == ExchangeFailure::ConnectionLost));
    BOOST_TEST(answer.server.isClosed());
}

BOOST_AUTO_TEST_CASE(Bytes_without_end_behind_a_whole_answer_are_not_read)
{
    EndlessAnswer answer { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", std::string(1000, 'x') };
    answer.run(4s);
    BOOST_TEST(!answer.headerFailure.has_value());
    BOOST_TEST(!answer.bodyFailure.has_value());
    BOOST_TEST(answer.bodyBytes == 5U);
    BOOST_TEST(answer.pool.idleConnections() == 0U);
    BOOST_TEST(answer.server.isClosed());
}

// Memory stays flat: no more is read from the connection than one piece of the body and what the buffer holds.
BOOST_AUTO_TEST_CASE(A_body_without_end_is_read_no_faster_than_its_receiver_takes_it)
{
    EndlessAnswer answer { "HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x') };
    answer.run(100ms);
    BOOST_TEST(answer.exchange->bodyBytes() == answer.bodyBytes);
}

BOOST_AUTO_TEST_SUITE_END()

}
