#include "internal/Listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

namespace carobpath::gateway::Detail {

namespace {

    using boost::asio::ip::tcp;

    struct OneListener {
        boost::asio::io_context io;
        GatewayLimits limits;
        Dialect dialect;
        std::shared_ptr<Listener> listener = std::make_shared<Listener>(io, limits, dialect, ServerSession::Handlers { [](const auto&) {}, nullptr, nullptr, nullptr },
            std::make_shared<RequestMemory>(limits.heldBytes));
        std::vector<tcp::socket> callers;

        OneListener() { BOOST_TEST_REQUIRE(!listener->listen(Endpoint { "127.0.0.1", 0 })); }

        void connect(std::size_t n)
        {
            const tcp::endpoint at { boost::asio::ip::make_address("127.0.0.1"), listener->endpoint().port };
            for (std::size_t i = 0; i < n; ++i) {
                callers.emplace_back(io);
                callers.back().connect(at);
            }
        }

        /// \returns the handlers that ran until as many connections were accepted.
        std::size_t turnsUntilOpen(std::size_t n)
        {
            std::size_t turns = 0;
            while (listener->openConnections() < n && io.poll_one() > 0)
                ++turns;
            return turns;
        }
    };

}

BOOST_FIXTURE_TEST_SUITE(Listeners, OneListener)

// Guards against callers whose new connections time out at a busy node, since one is accepted at each turn of its thread.
BOOST_AUTO_TEST_CASE(A_burst_of_new_connections_is_accepted_in_few_turns)
{
    constexpr std::size_t burst = 64;
    // With turns of 20 ms, all are accepted within a fifth of a second.
    constexpr std::size_t mostTurns = 10;
    connect(burst);
    BOOST_TEST(turnsUntilOpen(burst) <= mostTurns);
    BOOST_TEST(listener->openConnections() == burst);
}

BOOST_AUTO_TEST_SUITE_END()

}
