#include "carobpath/publication/HttpExchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

namespace carobpath::publication::Detail {

using namespace std::chrono_literals;

namespace {

    using boost::asio::ip::tcp;

    /// Sends a start to the first connection, then a piece again and again until the other end closes.
    struct EndlessStore {
        boost::asio::io_context io;
        tcp::acceptor acceptor { io, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
        tcp::socket socket { io };
        std::string start;
        std::string piece;

        EndlessStore(std::string first, std::string rest)
            : start(std::move(first))
            , piece(std::move(rest))
        {
            acceptor.async_accept(socket, [this](boost::system::error_code) { write(start); });
        }

        void write(const std::string& bytes)
        {
            boost::asio::async_write(socket, boost::asio::buffer(bytes), [this](boost::system::error_code ec, std::size_t) {
                if (!ec)
                    write(piece);
            });
        }

        std::optional<HttpResult> get()
        {
            HttpRequest request;
            request.target = "/";
            request.connectTimeout = 20s;
            request.answerTimeout = 20s;
            request.silenceTimeout = 20s;
            request.bodyTimeout = 20s;
            request.answerBytes = 1'000'000;
            std::optional<HttpResult> result;
            const auto exchange = std::make_shared<HttpExchange>(io.get_executor(), Endpoint { "127.0.0.1", acceptor.local_endpoint().port() }, request,
                [&](HttpResult it) { result = std::move(it); });
            exchange->start();
            const auto until = MonotonicClock::now() + 5s;
            while (!result && MonotonicClock::now() < until)
                io.run_one_for(10ms);
            exchange->cancel();
            return result;
        }
    };

}

BOOST_AUTO_TEST_SUITE(HttpExchanges)

// Guards against an answer of the store whose bytes are all kept until the process is out of memory.
BOOST_AUTO_TEST_CASE(An_answer_whose_framing_has_no_end_is_given_up_as_too_large)
{
    const std::string header = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string start : { "5;x=", "5\r\nbytes\r\n5;x=", "0\r\nX: " }) {
        BOOST_TEST_CONTEXT(start)
        {
            EndlessStore store { header + start, std::string(1000, 'x') };
            const auto result = store.get();
            BOOST_REQUIRE(result.has_value());
            BOOST_CHECK(std::get<HttpFailure>(*result) == HttpFailure::AnswerTooLarge);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
