#include "carobpath/publication/HttpExchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <optional>
#include <string>

namespace carobpath::publication::Detail {

using namespace std::chrono_literals;

namespace {

    using boost::asio::ip::tcp;

    /// \returns a request whose limits do not matter.
    HttpRequest patientRequest()
    {
        HttpRequest it;
        it.target = "/";
        it.connectTimeout = 20s;
        it.answerTimeout = 20s;
        it.silenceTimeout = 20s;
        it.bodyTimeout = 20s;
        it.answerBytes = 1'000'000;
        return it;
    }

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
            const auto request = patientRequest();
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

    /// Takes one request and answers it with a body that the kernel has whole before the client reads on.
    struct LargeStore {
        boost::asio::io_context storeIo;
        boost::asio::io_context io;
        tcp::acceptor acceptor { storeIo, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
        tcp::socket socket { storeIo };

        explicit LargeStore(std::size_t bodyBytes)
            : m_answer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x'))
        {
        }

        void answer()
        {
            acceptor.accept(socket);
            socket.set_option(boost::asio::socket_base::send_buffer_size { 4 * static_cast<int>(m_answer.size()) });
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
            boost::asio::write(socket, boost::asio::buffer(m_answer));
        }

        /// \returns the handlers that ran on the client's thread for the whole answer.
        std::size_t turnsOfGet()
        {
            const auto request = patientRequest();
            std::optional<HttpResult> result;
            const auto exchange = std::make_shared<HttpExchange>(io.get_executor(), Endpoint { "127.0.0.1", acceptor.local_endpoint().port() }, request,
                [&](HttpResult it) { result = std::move(it); });
            const auto store = std::async(std::launch::async, [this] { answer(); });
            exchange->start();
            // Connect and send; then the thread is busy elsewhere until the answer is there, as far as the kernel takes it.
            std::size_t turns = io.run_one_for(5s) + io.run_one_for(5s);
            store.wait_for(1s);
            while (!result && io.run_one_for(5s) > 0)
                ++turns;
            BOOST_TEST_REQUIRE(result.has_value());
            BOOST_TEST(std::get<HttpAnswer>(*result).body.size() > 0U);
            return turns;
        }

    private:
        std::string m_answer;
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

// Guards against a configuration that takes seconds to arrive on a busy instance, since each piece of 512 bytes waits for a turn of its thread.
BOOST_AUTO_TEST_CASE(A_large_answer_takes_few_turns_of_the_thread)
{
    constexpr std::size_t largeConfigurationBytes = 350'000;
    // With turns of 20 ms, the last byte is there within a second.
    constexpr std::size_t mostTurns = 50;
    BOOST_TEST(LargeStore(largeConfigurationBytes).turnsOfGet() <= mostTurns);
}

BOOST_AUTO_TEST_SUITE_END()

}
