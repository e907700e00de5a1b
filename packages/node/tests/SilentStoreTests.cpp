#include "FakeStoreServer.h"
#include "IgnoringHooks.h"
#include "carobpath/platform/RecordFrames.h"
#include "carobpath/platform/StoreClient.h"
#include "internal/KeyedReader.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::node::Detail {

namespace {

    using namespace std::chrono_literals;
    using platform::FakeAnswer;
    using Kind = FakeAnswer::Kind;

    constexpr auto longPoll = 28s;
    /// Half of the 2 s within which a change must be in force.
    constexpr auto repeatBound = 1s;
    /// Ends a test that would wait forever.
    constexpr auto hangBound = 10s;

    const std::string firstListing = R"({"items":[{"key":"config","value":"Zmlyc3Q=","offset":0}],"has-more":false,"end-offset":1})";
    const std::string secondListing = R"({"items":[{"key":"config","value":"c2Vjb25k","offset":1}],"has-more":false,"end-offset":2})";

    /// A reader whose long poll and another connection to the store are open.
    struct ReaderWithIdleConnection {
        boost::asio::io_context io;
        bool hasSecond = false;
        /// Number of connections that fell silent, the oldest ones.
        int silentConnections = 0;
        platform::FakeStoreServer server { io, [this](const auto& request) { return answer(std::string { request.target() }); } };
        platform::StoreClient client { io.get_executor(), options() };
        std::vector<std::string> delivered;
        std::shared_ptr<KeyedReader<platform::StoreClient>> reader;

        ReaderWithIdleConnection()
        {
            reader = std::make_shared<KeyedReader<platform::StoreClient>>(io, client, "op", longPoll, hooks(), std::mt19937_64 { 1 });
            reader->start();
            run([&] { return delivered.size() == 1; }, hangBound);
            bool isChecked = false;
            client.checkEnd("op", 1, [&](const publication::EndResult&) { isChecked = true; });
            // The check needs a second connection, since the long poll holds the first.
            BOOST_REQUIRE(run([&] { return isChecked && server.connections() == 2; }, hangBound));
        }

        platform::StoreClientOptions options() const
        {
            platform::StoreClientOptions it;
            it.endpoints = { server.endpoint() };
            return it;
        }

        FakeAnswer answer(const std::string& target) const
        {
            const bool isRead = target.find("log-read") != std::string::npos;
            const bool isLongPoll = isRead && target.find("wait-ms=0") == std::string::npos;
            const bool isSilent = server.connections() <= silentConnections;
            if (isLongPoll || isSilent)
                return { Kind::Hang, 0, {} };
            if (isRead)
                return { Kind::Send, 200, platform::batchText({ 1, 0, {} }) };
            return { Kind::Send, 200, hasSecond ? secondListing : firstListing };
        }

        KeyedReaderHooks hooks()
        {
            auto it = ignoringHooks();
            it.onRecord = appendValuesTo(delivered);
            return it;
        }

        template <typename Condition>
        bool run(Condition condition, std::chrono::milliseconds bound)
        {
            const auto until = MonotonicClock::now() + bound;
            while (!condition() && MonotonicClock::now() < until) {
                io.run_for(20ms);
                reader->onTick(MonotonicClock::now());
            }
            return condition();
        }
    };

}

BOOST_FIXTURE_TEST_SUITE(Readers_of_a_store_that_fell_silent, ReaderWithIdleConnection)

BOOST_AUTO_TEST_CASE(A_repeated_read_does_not_wait_on_an_idle_connection_that_fell_silent_with_the_first)
{
    silentConnections = server.connections();
    hasSecond = true;
    reader->onEndKnown({ {}, 2 });
    BOOST_TEST(run([&] { return delivered.size() == 2; }, publication::ReadWatchdog::s_deliveryTimeout + repeatBound));
}

BOOST_AUTO_TEST_SUITE_END()

}
