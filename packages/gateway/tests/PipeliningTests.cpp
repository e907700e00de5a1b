#include "internal/ServerSession.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace carobpath::gateway::Detail {

using namespace std::chrono_literals;

namespace {

    using boost::asio::ip::tcp;

    std::string get(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"; }
    std::string post(const std::string& path) { return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"; }

    /// A request that the handler was given. The test answers it when it likes.
    struct Handled {
        ServerExchange::Pointer exchange;
        std::string path;
        std::shared_ptr<bool> gone = std::make_shared<bool>(false);

        /// The body of the answer is the path of its request.
        void answer() const
        {
            Response response { http::status::ok, 11 };
            response.body() = path;
            exchange->respond(std::move(response));
        }
    };

    /// One session, whose requests stay unanswered until the test answers them, and its caller. GET is safe.
    struct Caller {
        boost::asio::io_context io;
        GatewayLimits limits;
        Dialect dialect;
        std::vector<Handled> handled;
        std::size_t dropped = 0;
        tcp::socket socket { io };
        ServerSession::Pointer session;

        explicit Caller(GatewayLimits chosen = {})
            : limits(chosen)
        {
            tcp::acceptor acceptor { io, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
            socket.connect(acceptor.local_endpoint());
            ServerSession::Handlers handlers;
            handlers.onRequest = [this](const ServerExchange::Pointer& it) { handle(it); };
            handlers.isSafe = [](const Request& it) { return it.method() == http::verb::get; };
            handlers.onDropped = [this](std::size_t n) { dropped += n; };
            session = std::make_shared<ServerSession>(acceptor.accept(), limits, dialect, handlers);
            session->start();
        }

        void handle(const ServerExchange::Pointer& it)
        {
            Handled request { it, std::string { it->request().target() } };
            it->onGone([gone = request.gone, it] {
                *gone = true;
                it->abandon();
            });
            handled.push_back(std::move(request));
        }

        void send(const std::string& bytes)
        {
            boost::asio::write(socket, boost::asio::buffer(bytes));
            run();
        }

        void run(std::chrono::milliseconds time = 20ms)
        {
            io.restart();
            io.run_for(time);
        }

        std::vector<std::string> paths() const
        {
            std::vector<std::string> all;
            for (const auto& it : handled)
                all.push_back(it.path);
            return all;
        }

        /// \returns the bodies and the statuses other than 200 of all answers that came, and whether each of them says
        /// that the connection closes; "end" and "reset" stand for the end of the connection.
        std::vector<std::string> answers()
        {
            run();
            std::vector<std::string> all;
            boost::system::error_code ec;
            socket.non_blocking(true);
            std::string text;
            boost::asio::read(socket, boost::asio::dynamic_buffer(text), ec);
            while (!text.empty()) {
                http::response_parser<http::string_body> parser;
                parser.eager(true);
                boost::system::error_code parsed;
                const auto n = parser.put(boost::asio::buffer(text), parsed);
                text.erase(0, n);
                BOOST_TEST_REQUIRE(!parsed);
                const auto& answer = parser.get();
                const auto what = answer.result() == http::status::ok ? answer.body() : std::to_string(answer.result_int());
                all.push_back(what + (answer.keep_alive() ? "" : " close"));
            }
            if (ec == boost::asio::error::eof)
                all.emplace_back("end");
            if (ec == boost::asio::error::connection_reset)
                all.emplace_back("reset");
            return all;
        }
    };

    using Texts = std::vector<std::string>;

    void checkEqual(const Texts& found, const Texts& expected)
    {
        BOOST_TEST(found == expected, boost::test_tools::per_element());
    }

    /// A body that comes in one piece; the length is not known before.
    class FakeBody : public BodySource {
    public:
        explicit FakeBody(std::optional<ExchangeFailure> endsWith)
            : m_endsWith(endsWith)
        {
        }

        bool wasCancelled() const { return m_cancelled; }
        bool wasRead() const { return m_wasRead; }

        std::optional<std::uint64_t> contentLength() const override { return std::nullopt; }
        bool bodyIsDone() const override { return m_wasRead && !m_endsWith; }
        bool hasBufferedBody() const override { return true; }
        void readBody(BodyHandler handler) override
        {
            if (!std::exchange(m_wasRead, true))
                handler(std::nullopt, "piece");
            else
                handler(m_endsWith, {});
        }
        void discard() override { }
        void cancel() override { m_cancelled = true; }
        bool failed() const override { return m_endsWith.has_value(); }

    private:
        std::optional<ExchangeFailure> m_endsWith;
        bool m_wasRead = false;
        bool m_cancelled = false;
    };

    /// A body whose first piece comes when the test says so.
    class HeldBody : public BodySource {
    public:
        void release()
        {
            m_done = true;
            std::exchange(m_handler, nullptr)(std::nullopt, "held");
        }

        std::optional<std::uint64_t> contentLength() const override { return 4; }
        bool bodyIsDone() const override { return m_done; }
        bool hasBufferedBody() const override { return false; }
        void readBody(BodyHandler handler) override
        {
            if (m_done)
                handler(std::nullopt, {});
            else
                m_handler = std::move(handler);
        }
        void discard() override { }
        void cancel() override { }
        bool failed() const override { return false; }

    private:
        BodyHandler m_handler;
        bool m_done = false;
    };

}

BOOST_AUTO_TEST_SUITE(Pipelining)

BOOST_AUTO_TEST_CASE(Safe_requests_are_handled_side_by_side_and_answered_in_order)
{
    Caller caller;
    caller.send(get("/1") + get("/2") + get("/3"));
    checkEqual(caller.paths(), { "/1", "/2", "/3" });
    caller.handled[2].answer();
    caller.handled[1].answer();
    checkEqual(caller.answers(), {});
    caller.handled[0].answer();
    checkEqual(caller.answers(), { "/1", "/2", "/3" });
}

BOOST_AUTO_TEST_CASE(A_request_that_is_not_safe_is_handled_alone)
{
    Caller caller;
    caller.send(get("/1") + get("/2") + post("/3") + get("/4") + get("/5"));
    checkEqual(caller.paths(), { "/1", "/2" });
    caller.handled[0].answer();
    caller.run();
    checkEqual(caller.paths(), { "/1", "/2" });
    caller.handled[1].answer();
    caller.run();
    checkEqual(caller.paths(), { "/1", "/2", "/3" });
    caller.handled[2].answer();
    checkEqual(caller.answers(), { "/1", "/2", "/3" });
    checkEqual(caller.paths(), { "/1", "/2", "/3", "/4", "/5" });
}

BOOST_AUTO_TEST_CASE(A_connection_is_read_no_further_than_its_limits)
{
    GatewayLimits limits;
    limits.pipelinedRequests = 3;
    limits.readAheadBytes = 1024;
    Caller caller(limits);
    std::string many;
    for (int i = 0; i < 500; ++i)
        many += get("/" + std::to_string(i));
    caller.send(many);
    BOOST_TEST(caller.handled.size() == 3U);
    for (std::size_t i = 0; i < 500; ++i) {
        BOOST_TEST_REQUIRE(i < caller.handled.size());
        caller.handled[i].answer();
        caller.run(1ms);
        while (caller.handled.size() == i + 1 && i < 499)
            caller.run(10ms);
    }
    BOOST_TEST(caller.answers().size() == 500U);
}

BOOST_AUTO_TEST_CASE(The_wait_in_line_counts_from_the_first_byte_of_a_request)
{
    Caller caller;
    const auto before = MonotonicClock::now();
    caller.send(post("/1") + post("/2"));
    const auto after = MonotonicClock::now();
    caller.run(50ms);
    caller.handled[0].answer();
    caller.run();
    BOOST_TEST_REQUIRE(caller.handled.size() == 2U);
    BOOST_TEST((caller.handled[1].exchange->arrivedAt() >= before));
    BOOST_TEST((caller.handled[1].exchange->arrivedAt() <= after));
}

BOOST_AUTO_TEST_CASE(Requests_behind_one_that_closes_the_connection_are_not_handled)
{
    Caller caller;
    caller.send(get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/3"));
    checkEqual(caller.paths(), { "/1", "/2" });
    caller.handled[1].answer();
    caller.handled[0].answer();
    checkEqual(caller.answers(), { "/1", "/2 close", "end" });
}

// Closing a connection with unread bytes resets it, and the last answer may be lost on its way.
BOOST_AUTO_TEST_CASE(The_last_answer_arrives_although_bytes_behind_its_request_are_unread)
{
    GatewayLimits limits;
    limits.readAheadBytes = 1024;
    Caller caller(limits);
    std::string bytes = "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    for (int i = 0; i < 500; ++i)
        bytes += get("/behind");
    caller.send(bytes);
    caller.handled[0].answer();
    checkEqual(caller.answers(), { "/1 close", "end" });
    // The first write to a closed connection makes its end reset it, so that the second one fails.
    caller.send(get("/behind"));
    BOOST_CHECK_NO_THROW(caller.send(get("/behind")));
}

BOOST_AUTO_TEST_CASE(A_caller_that_never_closes_is_left_after_a_time)
{
    Caller caller;
    caller.send("GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    caller.handled[0].answer();
    caller.run();
    BOOST_TEST(caller.session->isBusy());
    caller.run(1100ms);
    BOOST_TEST(!caller.session->isBusy());
}

// A node that stops has read several requests of one connection and works on them.
BOOST_AUTO_TEST_CASE(A_planned_stop_answers_every_request_that_is_being_handled)
{
    Caller caller;
    caller.send(get("/1") + get("/2"));
    caller.session->announceClose();
    caller.session->closeWhenIdle();
    caller.send(get("/3"));
    checkEqual(caller.paths(), { "/1", "/2" });
    caller.handled[0].answer();
    checkEqual(caller.answers(), { "/1" });
    caller.handled[1].answer();
    checkEqual(caller.answers(), { "/2 close", "end" });
}

BOOST_AUTO_TEST_CASE(A_planned_stop_leaves_requests_that_were_not_begun_to_the_caller)
{
    Caller caller;
    caller.send(post("/1") + post("/2"));
    caller.session->announceClose();
    caller.handled[0].answer();
    checkEqual(caller.answers(), { "/1 close", "end" });
    checkEqual(caller.paths(), { "/1" });
    BOOST_TEST(caller.dropped == 1U);
}

BOOST_AUTO_TEST_CASE(All_requests_of_a_caller_that_left_are_cancelled)
{
    Caller caller;
    caller.send(get("/1") + get("/2") + post("/3"));
    caller.socket.close();
    caller.run();
    BOOST_TEST(*caller.handled[0].gone);
    BOOST_TEST(*caller.handled[1].gone);
    BOOST_TEST(caller.dropped == 1U);
    BOOST_TEST(!caller.session->isBusy());
}

// The end of the connection comes behind bytes that are not read for the time being.
BOOST_AUTO_TEST_CASE(A_caller_that_left_is_noticed_behind_unread_bytes)
{
    GatewayLimits limits;
    limits.pipelinedRequests = 1;
    limits.readAheadBytes = 1024;
    Caller caller(limits);
    std::string bytes;
    for (int i = 0; i < 500; ++i)
        bytes += get("/" + std::to_string(i));
    caller.send(bytes);
    caller.socket.shutdown(tcp::socket::shutdown_send);
    caller.run(400ms);
    BOOST_TEST(*caller.handled[0].gone);
}

BOOST_AUTO_TEST_CASE(An_answer_that_has_begun_is_written_whole_for_a_caller_that_sends_no_more)
{
    Caller caller;
    caller.send(get("/1") + get("/2"));
    const auto body = std::make_shared<HeldBody>();
    caller.handled[0].exchange->relay(body, ResponseHeader {}, nullptr);
    caller.run();
    caller.socket.shutdown(tcp::socket::shutdown_send);
    caller.run();
    BOOST_TEST(*caller.handled[1].gone);
    body->release();
    checkEqual(caller.answers(), { "held", "end" });
}

BOOST_AUTO_TEST_CASE(Requests_before_one_that_cannot_be_read_are_answered_first)
{
    Caller caller;
    caller.send(get("/1") + get("/2") + "NO SUCH LINE\r\n\r\n" + get("/3"));
    checkEqual(caller.paths(), { "/1", "/2" });
    checkEqual(caller.answers(), {});
    caller.handled[1].answer();
    caller.handled[0].answer();
    checkEqual(caller.answers(), { "/1", "/2", "400 close", "end" });
}

BOOST_AUTO_TEST_CASE(A_body_that_waits_for_its_turn_is_not_read)
{
    Caller caller;
    caller.send(get("/1") + get("/2"));
    const auto body = std::make_shared<FakeBody>(std::nullopt);
    caller.handled[1].exchange->relay(body, ResponseHeader {}, nullptr);
    caller.run();
    BOOST_TEST(!body->wasRead());
    caller.handled[0].answer();
    checkEqual(caller.answers(), { "/1", "piece" });
}

BOOST_AUTO_TEST_CASE(A_body_that_waits_for_its_turn_is_cancelled_when_the_caller_leaves)
{
    Caller caller;
    caller.send(get("/1") + get("/2"));
    const auto body = std::make_shared<FakeBody>(std::nullopt);
    std::optional<AnswerEnd> end;
    caller.handled[1].exchange->relay(body, ResponseHeader {}, [&](AnswerEnd it) { end = it; });
    caller.socket.close();
    caller.run();
    BOOST_TEST(body->wasCancelled());
    BOOST_TEST((end == AnswerEnd::CutByReceiver));
}

BOOST_AUTO_TEST_CASE(An_answer_for_a_caller_that_left_is_cancelled)
{
    Caller caller;
    caller.send(get("/1"));
    caller.socket.close();
    caller.run();
    const auto body = std::make_shared<FakeBody>(std::nullopt);
    std::optional<AnswerEnd> end;
    caller.handled[0].exchange->relay(body, ResponseHeader {}, [&](AnswerEnd it) { end = it; });
    caller.run();
    BOOST_TEST(body->wasCancelled());
    BOOST_TEST((end == AnswerEnd::CutByReceiver));
}

// Callers of HTTP/1.0 know the end of such an answer by the end of the connection alone.
BOOST_AUTO_TEST_CASE(A_cut_answer_without_a_length_resets_the_connection)
{
    Caller caller;
    caller.send("GET /1 HTTP/1.0\r\nHost: a\r\n\r\n");
    caller.handled[0].exchange->relay(std::make_shared<FakeBody>(ExchangeFailure::ConnectionLost), ResponseHeader {}, nullptr);
    const auto answers = caller.answers();
    BOOST_TEST_REQUIRE(!answers.empty());
    BOOST_TEST(answers.back() == "reset");
}

BOOST_AUTO_TEST_CASE(A_request_that_stops_midway_ends_the_connection_after_the_answers_before_it)
{
    GatewayLimits limits;
    limits.requestTimeout = 50ms;
    Caller caller(limits);
    caller.send(get("/1") + "GET /2");
    caller.run(100ms);
    caller.handled[0].answer();
    checkEqual(caller.answers(), { "/1 close", "end" });
}

BOOST_AUTO_TEST_SUITE_END()

}
