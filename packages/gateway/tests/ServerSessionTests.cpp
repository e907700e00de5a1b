#include "internal/ServerSession.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace carobpath::gateway::Detail {

using namespace std::chrono_literals;

namespace {

    using boost::asio::ip::tcp;

    /// One session that answers each request with 200, and the caller at the other end of its connection.
    struct Connection {
        /// A body that fits into the first and not into the second is left with the system when it was written.
        static constexpr int s_sendBuffer = 200'000;
        static constexpr int s_receiveBuffer = 4'000;
        static constexpr std::size_t s_largeBody = 150'000;

        boost::asio::io_context io;
        GatewayLimits limits;
        Dialect dialect;
        int requests = 0;
        std::string body;
        tcp::socket caller { io };
        ServerSession::Pointer session;

        Connection()
        {
            tcp::acceptor acceptor { io, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
            acceptor.set_option(boost::asio::socket_base::send_buffer_size { s_sendBuffer });
            caller.open(tcp::v4());
            caller.set_option(boost::asio::socket_base::receive_buffer_size { s_receiveBuffer });
            caller.connect(acceptor.local_endpoint());
            const ServerSession::Handlers handlers { [this](const ServerExchange::Pointer& it) { answer(it); }, nullptr, nullptr, nullptr };
            session = std::make_shared<ServerSession>(acceptor.accept(), limits, dialect, handlers);
            session->start();
            io.poll();
        }

        void answer(const ServerExchange::Pointer& it)
        {
            ++requests;
            Response response { http::status::ok, 11 };
            response.body() = body;
            it->respond(std::move(response));
        }

        void send() { boost::asio::write(caller, boost::asio::buffer(std::string { "GET / HTTP/1.1\r\nHost: a\r\n\r\n" })); }

        /// Asks the session to close for longer than a caller is given to use its connection.
        void closeRepeatedly()
        {
            constexpr int times = 25;
            for (int i = 0; i < times; ++i) {
                session->closeIfIdle();
                io.restart();
                io.run_for(20ms);
            }
        }

        /// \returns what the caller reads up to the end of a header; empty where the connection ends before.
        std::string read()
        {
            io.restart();
            io.run_for(50ms);
            std::string text;
            boost::system::error_code ec;
            boost::asio::read_until(caller, boost::asio::dynamic_buffer(text), "\r\n\r\n", ec);
            return ec ? std::string {} : text;
        }
    };

    /// Runs the context until the condition holds, for some seconds at most.
    template <typename Condition>
    void eventually(boost::asio::io_context& io, Condition condition)
    {
        const auto end = MonotonicClock::now() + 5s;
        while (!condition() && MonotonicClock::now() < end) {
            io.restart();
            io.run_for(10ms);
        }
        BOOST_TEST(condition());
    }

}

BOOST_AUTO_TEST_SUITE(Server_sessions)

BOOST_AUTO_TEST_CASE(A_request_that_came_before_its_idle_connection_is_closed_is_answered)
{
    Connection connection;
    connection.send();
    std::this_thread::sleep_for(5ms);
    connection.session->closeIfIdle();
    const auto answer = connection.read();
    BOOST_TEST(answer.find("200") != std::string::npos);
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    BOOST_TEST(connection.requests == 1);
}

BOOST_AUTO_TEST_CASE(A_connection_on_which_nothing_came_is_closed)
{
    Connection connection;
    connection.closeRepeatedly();
    BOOST_TEST(connection.read().empty());
    BOOST_TEST(connection.requests == 0);
    BOOST_TEST(connection.session->isClosed());
}

// Guards against a stopping node that resets the first request of a connection that was just made.
BOOST_AUTO_TEST_CASE(A_connection_that_was_just_made_is_not_closed)
{
    Connection connection;
    connection.session->closeIfIdle();
    connection.io.run_for(50ms);
    connection.send();
    const auto answer = connection.read();
    BOOST_TEST(answer.find("200") != std::string::npos);
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
}

// Guards against a reset of the request that follows an answer whose header had not said that the connection closes.
BOOST_AUTO_TEST_CASE(A_connection_whose_answer_the_caller_has_just_read_is_not_closed)
{
    Connection connection;
    connection.body.resize(Connection::s_largeBody);
    connection.send();
    connection.io.run_for(50ms);
    connection.closeRepeatedly();
    std::string text;
    boost::asio::read(connection.caller, boost::asio::dynamic_buffer(text), boost::asio::transfer_at_least(Connection::s_largeBody));
    connection.body.clear();
    eventually(connection.io, [&] { return !connection.session->isBusy(); });
    connection.session->closeIfIdle();
    connection.io.run_for(20ms);
    connection.send();
    BOOST_TEST(connection.read().find("Connection: close") != std::string::npos);
}

// Guards against a node that ends, or closes a connection as idle, while the system still holds a part of an answer.
BOOST_AUTO_TEST_CASE(A_connection_is_busy_until_the_caller_has_the_answer)
{
    Connection connection;
    connection.body.resize(Connection::s_largeBody);
    connection.send();
    connection.io.run_for(50ms);
    BOOST_TEST(connection.requests == 1);
    BOOST_TEST(connection.session->isBusy());
    connection.session->closeIfIdle();
    connection.io.run_for(50ms);
    BOOST_TEST(connection.session->isBusy());
    std::string text;
    boost::asio::read(connection.caller, boost::asio::dynamic_buffer(text), boost::asio::transfer_at_least(Connection::s_largeBody));
    eventually(connection.io, [&] { return !connection.session->isBusy(); });
}

// Guards against a connection that is closed a second after its last answer was written, though the caller still reads it.
BOOST_AUTO_TEST_CASE(A_connection_whose_last_answer_is_on_its_way_is_not_closed)
{
    Connection connection;
    connection.body.resize(Connection::s_largeBody);
    connection.session->announceClose();
    connection.send();
    connection.io.run_for(1500ms);
    BOOST_TEST(connection.session->isBusy());
    std::string text;
    boost::system::error_code ec;
    boost::asio::read(connection.caller, boost::asio::dynamic_buffer(text), ec);
    BOOST_TEST((ec == boost::asio::error::eof));
    BOOST_TEST(text.size() > Connection::s_largeBody);
    eventually(connection.io, [&] { return !connection.session->isBusy(); });
}

BOOST_AUTO_TEST_SUITE_END()

}
