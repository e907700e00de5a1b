#include "internal/ServerSession.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
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
        boost::asio::io_context io;
        GatewayLimits limits;
        Dialect dialect;
        int requests = 0;
        tcp::socket caller { io };
        ServerSession::Pointer session;

        Connection()
        {
            tcp::acceptor acceptor { io, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
            caller.connect(acceptor.local_endpoint());
            const ServerSession::Handlers handlers { [this](const ServerExchange::Pointer& it) { answer(it); }, nullptr, nullptr, nullptr };
            session = std::make_shared<ServerSession>(acceptor.accept(), limits, dialect, handlers);
            session->start();
            io.poll();
        }

        void answer(const ServerExchange::Pointer& it)
        {
            ++requests;
            it->respond(Response { http::status::ok, 11 });
        }

        void send() { boost::asio::write(caller, boost::asio::buffer(std::string { "GET / HTTP/1.1\r\nHost: a\r\n\r\n" })); }

        /// \returns what the caller reads up to the end of a header; empty where the connection ends before.
        std::string read()
        {
            io.run_for(50ms);
            std::string text;
            boost::system::error_code ec;
            boost::asio::read_until(caller, boost::asio::dynamic_buffer(text), "\r\n\r\n", ec);
            return ec ? std::string {} : text;
        }
    };

}

BOOST_AUTO_TEST_SUITE(Server_sessions)

BOOST_AUTO_TEST_CASE(A_request_that_came_before_its_idle_connection_is_closed_is_answered)
{
    Connection connection;
    connection.send();
    std::this_thread::sleep_for(5ms);
    connection.session->closeWhenIdle();
    const auto answer = connection.read();
    BOOST_TEST(answer.find("200") != std::string::npos);
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    BOOST_TEST(connection.requests == 1);
}

BOOST_AUTO_TEST_CASE(A_connection_on_which_nothing_came_is_closed)
{
    Connection connection;
    connection.session->closeWhenIdle();
    BOOST_TEST(connection.read().empty());
    BOOST_TEST(connection.requests == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}
