#include "ScriptedServer.h"
#include "internal/UpstreamExchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <optional>
#include <ostream>
#include <string>
#include <thread>

namespace carobpath::gateway::Detail {

using namespace std::chrono_literals;

namespace {

    /// How one exchange ended, with the whole body.
    struct Seen {
        std::optional<ExchangeFailure> headerFailure;
        std::optional<ExchangeFailure> bodyFailure;
        unsigned status = 0;
        std::string body;
        /// Parts in which the body came, the empty one at its end included.
        std::size_t pieces = 0;
        bool ended = false;
    };

    /// One exchange after the other against one server.
    class Bench {
    public:
        Bench(std::string answer, ScriptEnd end)
            : m_server(m_context, std::move(answer), end)
        {
        }

        Seen exchange(std::chrono::milliseconds deadline = 5s, std::chrono::milliseconds silence = 5s, const RequestId& id = RequestId { "r-1" })
        {
            Seen seen;
            auto exchange = std::make_shared<UpstreamExchange>(m_pool, m_limits);
            auto request = std::make_shared<Request>(http::verb::get, "/", 11);
            request->set(http::field::host, "test");
            ExchangeTarget target;
            target.endpoint = m_server.endpoint();
            target.headerDeadline = MonotonicClock::now() + deadline;
            target.silence = silence;
            target.requestId = id;
            exchange->start(target, request, [&](std::optional<ExchangeFailure> failure) {
                seen.headerFailure = failure;
                seen.ended = failure.has_value();
                if (failure)
                    return;
                seen.status = exchange->header().result_int();
                readBody(exchange, seen);
            });
            if (m_stall.count() > 0)
                stall();
            while (!seen.ended)
                m_context.run_one();
            return seen;
        }

        /// Once the answer is sent, the process does not run for the time.
        void stallAfterAnswer(std::chrono::milliseconds time) { m_stall = time; }

        /// The node is stopping.
        void stop() { m_limits.endsSilentCalls = false; }

        void setOpenBodyTime(std::chrono::milliseconds time) { m_limits.openBodyTime = time; }

        ScriptedServer& server() { return m_server; }
        ConnectionPool& pool() { return m_pool; }

    private:
        void stall()
        {
            const auto answered = m_server.requests() + 1;
            while (m_server.requests() < answered)
                m_context.run_one();
            std::this_thread::sleep_for(m_stall);
        }

        void readBody(const std::shared_ptr<UpstreamExchange>& exchange, Seen& seen)
        {
            exchange->readBody([this, exchange, &seen](std::optional<ExchangeFailure> failure, std::string_view piece) {
                seen.bodyFailure = failure;
                seen.body += piece;
                ++seen.pieces;
                if (failure || piece.empty())
                    seen.ended = true;
                else
                    readBody(exchange, seen);
            });
        }

        std::chrono::milliseconds m_stall {};
        boost::asio::io_context m_context;
        GatewayLimits m_limits;
        ConnectionPool m_pool { m_context, m_limits };
        ScriptedServer m_server;
    };

    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nCarobpath-Request-Id: r-1\r\nContent-Length: 4\r\n\r\nfull";
    const std::string refusalOfAny = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull";
    const std::string wholeAnswer = "HTTP/1.1 200 OK\r\nCarobpath-Request-Id: r-1\r\nContent-Length: 5\r\n\r\nwhole";

    struct FaultRow {
        const char* name;
        std::string answer;
        ScriptEnd end;
        std::optional<ExchangeFailure> headerFailure;
        std::optional<ExchangeFailure> bodyFailure;
    };

    const std::array faultRows {
        FaultRow { "closed before a byte", "", ScriptEnd::Close, ExchangeFailure::ConnectionLost, std::nullopt },
        FaultRow { "silent", "", ScriptEnd::StaySilent, ExchangeFailure::Silent, std::nullopt },
        FaultRow { "header cut short", "HTTP/1.1 200 OK\r\nConte", ScriptEnd::Close, ExchangeFailure::ConnectionLost, std::nullopt },
        FaultRow { "no HTTP", "hello\r\n\r\n", ScriptEnd::Close, ExchangeFailure::ConnectionLost, std::nullopt },
        FaultRow { "another request's answer", "HTTP/1.1 200 OK\r\nCarobpath-Request-Id: r-2\r\nContent-Length: 0\r\n\r\n", ScriptEnd::StaySilent,
            ExchangeFailure::Mismatched, std::nullopt },
        FaultRow { "status 000", "HTTP/1.1 000 Odd\r\nCarobpath-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n", ScriptEnd::StaySilent, ExchangeFailure::Mismatched,
            std::nullopt },
        FaultRow { "status 099", "HTTP/1.1 099 Odd\r\nCarobpath-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n", ScriptEnd::StaySilent, ExchangeFailure::Mismatched,
            std::nullopt },
        FaultRow { "status 600", "HTTP/1.1 600 Odd\r\nCarobpath-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n", ScriptEnd::StaySilent, ExchangeFailure::Mismatched,
            std::nullopt },
        FaultRow { "status 999", "HTTP/1.1 999 Odd\r\nCarobpath-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n", ScriptEnd::StaySilent, ExchangeFailure::Mismatched,
            std::nullopt },
        FaultRow { "body cut short", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nwhole", ScriptEnd::Close, std::nullopt, ExchangeFailure::ConnectionLost },
        FaultRow { "chunked body without its end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", ScriptEnd::Close, std::nullopt,
            ExchangeFailure::ConnectionLost },
        FaultRow { "header too large", "HTTP/1.1 200 OK\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", ScriptEnd::Close, ExchangeFailure::ConnectionLost,
            std::nullopt },
    };

}

BOOST_AUTO_TEST_SUITE(UpstreamExchanges)

BOOST_AUTO_TEST_CASE(A_complete_matched_exchange_gives_the_whole_body_and_its_connection_is_used_again)
{
    Bench bench { wholeAnswer, ScriptEnd::StaySilent };
    for (int i = 0; i < 3; ++i) {
        const auto seen = bench.exchange();
        BOOST_TEST(!seen.headerFailure.has_value());
        BOOST_TEST(!seen.bodyFailure.has_value());
        BOOST_TEST(seen.body == "whole");
    }
    BOOST_TEST(bench.server().accepted() == 1);
    BOOST_TEST(bench.server().requests() == 3);
}

BOOST_AUTO_TEST_CASE(Every_faulty_answer_is_a_typed_failure_and_its_connection_is_not_used_again)
{
    for (const auto& row : faultRows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            Bench bench { row.answer, row.end };
            const auto seen = bench.exchange(5s, 100ms);
            BOOST_TEST((seen.headerFailure == row.headerFailure));
            BOOST_TEST((seen.bodyFailure == row.bodyFailure));
            BOOST_TEST(bench.pool().idleConnections() == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(Interim_answers_are_passed_over)
{
    Bench bench { "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + wholeAnswer, ScriptEnd::StaySilent };
    const auto seen = bench.exchange();
    BOOST_TEST(seen.status == 200U);
    BOOST_TEST(seen.body == "whole");
}

BOOST_AUTO_TEST_CASE(A_passed_deadline_is_told_apart_from_silence)
{
    Bench bench { "", ScriptEnd::StaySilent };
    BOOST_TEST((bench.exchange(50ms, 5s).headerFailure == ExchangeFailure::TimedOut));
}

BOOST_AUTO_TEST_CASE(A_refused_connection_is_told_apart_from_one_that_was_lost)
{
    Bench bench { wholeAnswer, ScriptEnd::StaySilent };
    bench.server().close();
    BOOST_TEST((bench.exchange().headerFailure == ExchangeFailure::ConnectFailed));
}

BOOST_AUTO_TEST_CASE(An_answer_with_bytes_after_its_end_does_not_leak_into_the_next_exchange)
{
    Bench bench { wholeAnswer + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", ScriptEnd::StaySilent };
    BOOST_TEST(bench.exchange().body == "whole");
    BOOST_TEST(bench.pool().idleConnections() == 0U);
    BOOST_TEST(bench.exchange().body == "whole");
    BOOST_TEST(bench.server().accepted() == 2);
}

// The connection is in use again when the second copy of an earlier answer arrives.
BOOST_AUTO_TEST_CASE(A_late_second_copy_of_an_answer_is_passed_over_for_the_answer_behind_it)
{
    Bench bench { wholeAnswer, ScriptEnd::StaySilent };
    bench.server().continueWith("HTTP/1.1 200 OK\r\nCarobpath-Request-Id: r-2\r\nContent-Length: 3\r\n\r\nown", 30ms);
    BOOST_TEST(bench.exchange().body == "whole");
    const auto second = bench.exchange(5s, 5s, RequestId { "r-2" });
    BOOST_TEST(!second.headerFailure.has_value());
    BOOST_TEST(second.body == "own");
    BOOST_TEST(bench.server().accepted() == 1);
    BOOST_TEST(bench.pool().idleConnections() == 0U);
}

BOOST_AUTO_TEST_CASE(A_second_copy_without_an_answer_behind_it_fails_the_exchange)
{
    Bench bench { wholeAnswer, ScriptEnd::StaySilent };
    bench.exchange();
    const auto second = bench.exchange(100ms, 5s, RequestId { "r-2" });
    BOOST_TEST((second.headerFailure == ExchangeFailure::TimedOut));
    BOOST_TEST(bench.pool().idleConnections() == 0U);
}

BOOST_AUTO_TEST_CASE(An_earlier_refusal_written_once_more_is_not_taken_for_the_answer_to_a_retry)
{
    Bench bench { refusal, ScriptEnd::StaySilent };
    BOOST_TEST(bench.exchange().status == 503U);
    bench.server().answerNewConnectionsWith(wholeAnswer);
    const auto retry = bench.exchange();
    BOOST_TEST(retry.status == 200U);
    BOOST_TEST(retry.body == "whole");
    BOOST_TEST(bench.server().accepted() == 2);
}

BOOST_AUTO_TEST_CASE(A_connection_that_carried_a_refusal_is_used_again_for_other_requests)
{
    Bench bench { refusalOfAny, ScriptEnd::StaySilent };
    for (const auto* id : { "r-1", "r-2", "r-3" })
        BOOST_TEST(bench.exchange(5s, 5s, RequestId { id }).status == 503U);
    BOOST_TEST(bench.server().accepted() == 1);
}

BOOST_AUTO_TEST_CASE(A_connection_with_as_many_refusals_as_are_remembered_is_closed)
{
    Bench bench { refusalOfAny, ScriptEnd::StaySilent };
    for (std::size_t i = 0; i <= Connection::s_mostErrors; ++i)
        bench.exchange(5s, 5s, RequestId { "r-" + std::to_string(i) });
    BOOST_TEST(bench.server().accepted() == 2);
}

BOOST_AUTO_TEST_CASE(An_answer_whose_head_is_cut_off_anywhere_is_a_failure)
{
    const auto head = wholeAnswer.substr(0, wholeAnswer.find("\r\n\r\n") + 3);
    for (const std::string& before : { std::string {}, std::string { "HTTP/1.1 102 Processing\r\n\r\n" } }) {
        for (std::size_t n = 0; n <= head.size(); ++n) {
            Bench bench { before + head.substr(0, n), ScriptEnd::Close };
            const auto seen = bench.exchange();
            BOOST_TEST((seen.headerFailure == ExchangeFailure::ConnectionLost), before << n << " bytes");
            BOOST_TEST(bench.pool().idleConnections() == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(An_answer_on_a_kept_connection_whose_head_is_cut_off_anywhere_is_a_failure)
{
    const auto head = wholeAnswer.substr(0, wholeAnswer.find("\r\n\r\n") + 3);
    for (std::size_t n = 1; n <= head.size(); ++n) {
        Bench bench { wholeAnswer, ScriptEnd::StaySilent };
        BOOST_TEST(bench.exchange().body == "whole");
        bench.server().cutNextAnswer(head.substr(0, n));
        BOOST_TEST((bench.exchange().headerFailure == ExchangeFailure::ConnectionLost), n << " bytes");
    }
}

BOOST_AUTO_TEST_CASE(Silence_ends_an_exchange_before_its_deadline_but_not_at_a_node_that_is_stopping)
{
    Bench running { "", ScriptEnd::StaySilent };
    BOOST_TEST((running.exchange(500ms, 20ms).headerFailure == ExchangeFailure::Silent));
    Bench stopping { "", ScriptEnd::StaySilent };
    stopping.stop();
    BOOST_TEST((stopping.exchange(200ms, 20ms).headerFailure == ExchangeFailure::TimedOut));
}

BOOST_AUTO_TEST_CASE(Neither_silence_nor_the_deadline_of_the_header_ends_a_body_that_comes_slowly)
{
    Bench bench { "HTTP/1.1 200 OK\r\nCarobpath-Request-Id: r-1\r\nContent-Length: 9\r\n\r\nsome", ScriptEnd::StaySilent };
    bench.server().continueWith(" rest", 200ms);
    const auto afterSilence = bench.exchange(5s, 50ms);
    BOOST_TEST(!afterSilence.bodyFailure.has_value());
    BOOST_TEST(afterSilence.body == "some rest");
    const auto afterDeadline = bench.exchange(100ms, 5s);
    BOOST_TEST(!afterDeadline.bodyFailure.has_value());
    BOOST_TEST(afterDeadline.body == "some rest");
}

BOOST_AUTO_TEST_CASE(An_answer_that_came_while_the_process_did_not_run_is_no_silence)
{
    // Larger than the first read, so that the end of the time is handled between two reads.
    const std::string field = "Padding: " + std::string(4000, 'x') + "\r\n";
    Bench bench { "HTTP/1.1 200 OK\r\n" + field + "Carobpath-Request-Id: r-1\r\nContent-Length: 5\r\n\r\nwhole", ScriptEnd::StaySilent };
    bench.stallAfterAnswer(60ms);
    for (int i = 0; i < 10; ++i) {
        const auto seen = bench.exchange(5s, 20ms);
        BOOST_TEST(!seen.headerFailure.has_value());
        BOOST_TEST(!seen.bodyFailure.has_value());
        BOOST_TEST(seen.body == "whole");
    }
}

// Guards against downloads that are late on a busy instance, since each piece of 512 bytes waits for a turn of its thread.
BOOST_AUTO_TEST_CASE(A_download_comes_in_few_pieces)
{
    constexpr std::size_t downloadBytes = 60'000;
    // At 20 ms a turn and on two nodes, the reads of 90 KB take half a second with as many.
    constexpr std::size_t mostPieces = 8;
    Bench bench("HTTP/1.1 200 OK\r\nCarobpath-Request-Id: r-1\r\nContent-Length: " + std::to_string(downloadBytes) + "\r\n\r\n" + std::string(downloadBytes, 'x'),
        ScriptEnd::StaySilent);
    for (int i = 0; i < 2; ++i) {
        const auto seen = bench.exchange();
        BOOST_TEST(seen.body.size() == downloadBytes);
        BOOST_TEST(seen.pieces <= mostPieces);
    }
}

BOOST_AUTO_TEST_CASE(A_short_answer_comes_with_its_header)
{
    const auto answer = "HTTP/1.1 200 OK\r\nCarobpath-Request-Id: r-1\r\nX-Fill: " + std::string(600, 'f') + "\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x');
    Bench bench(answer, ScriptEnd::StaySilent);
    BOOST_TEST(bench.exchange().pieces == 2U);
}

BOOST_AUTO_TEST_CASE(A_connection_keeps_no_large_buffer_after_a_download)
{
    Bench bench("HTTP/1.1 200 OK\r\nCarobpath-Request-Id: r-1\r\nContent-Length: 60000\r\n\r\n" + std::string(60000, 'x'), ScriptEnd::StaySilent);
    BOOST_TEST(bench.exchange().body.size() == 60000U);
    const auto connection = bench.pool().take(bench.server().endpoint(), RequestId { "r-2" }, MonotonicClock::now());
    BOOST_TEST_REQUIRE(connection != nullptr);
    BOOST_TEST(connection->buffer.capacity() <= Connection::s_shortAnswerBytes);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ConnectionPools)

BOOST_AUTO_TEST_CASE(Connections_made_before_one_that_fell_silent_are_closed)
{
    boost::asio::io_context context;
    GatewayLimits limits;
    ConnectionPool pool { context, limits };
    ScriptedServer server { context, "", ScriptEnd::StaySilent };
    const MonotonicTime now = MonotonicClock::now();
    const auto connectionMadeAt = [&](MonotonicTime madeAt) {
        auto connection = pool.make();
        connection->stream.connect(boost::asio::ip::tcp::endpoint { boost::asio::ip::make_address("127.0.0.1"), server.endpoint().port });
        connection->madeAt = madeAt;
        return connection;
    };
    pool.give(server.endpoint(), connectionMadeAt(now - 2s), now);
    pool.give(server.endpoint(), connectionMadeAt(now), now);
    const auto inUse = connectionMadeAt(now - 3s);

    pool.closeOlder(server.endpoint(), now - 1s);
    pool.give(server.endpoint(), inUse, now);

    BOOST_TEST(pool.idleConnections() == 1U);
    BOOST_TEST((pool.take(server.endpoint(), RequestId { "r-1" }, now)->madeAt == now));
}

BOOST_AUTO_TEST_SUITE_END()

}
