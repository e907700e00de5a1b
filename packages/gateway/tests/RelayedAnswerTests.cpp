#include "PipeliningFixture.h"

namespace carobpath::gateway::Detail {

namespace {

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

BOOST_AUTO_TEST_SUITE_END()

}
