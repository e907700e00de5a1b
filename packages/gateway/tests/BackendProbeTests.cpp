#include "internal/BackendProbe.h"

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

using namespace carobpath::gateway::Detail;
using boost::asio::ip::tcp;

namespace {

struct Fixture {
    boost::asio::io_context io;
    tcp::acceptor listener { io, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
    tcp::endpoint endpoint { listener.local_endpoint() };
    tcp::socket accepted { io };
    int connections = 0;

    /// \returns what the probe found.
    std::optional<bool> probe()
    {
        std::optional<bool> found;
        BackendProbe::start(io, endpoint, [&](bool hasEnded) {
            found = hasEnded;
            io.stop();
        });
        io.run_for(std::chrono::seconds { 10 });
        return found;
    }

    /// Accepts connections and hands each to the function.
    void accept(std::function<void()> onAccepted)
    {
        listener.async_accept(accepted, [this, onAccepted = std::move(onAccepted)](boost::system::error_code ec) {
            if (ec)
                return;
            ++connections;
            onAccepted();
            if (listener.is_open())
                accept(onAccepted);
        });
    }
};

}

BOOST_FIXTURE_TEST_SUITE(A_probe_of_a_server_that_broke_a_connection, Fixture)

BOOST_AUTO_TEST_CASE(Says_that_it_has_ended_where_it_refuses_a_connection)
{
    listener.close();
    BOOST_TEST((probe() == true));
}

BOOST_AUTO_TEST_CASE(Says_that_it_has_ended_where_its_listener_closes_just_after_the_probe_was_accepted)
{
    accept([this] {
        listener.close();
        accepted.close();
    });
    BOOST_TEST((probe() == true));
    BOOST_TEST(connections == 1);
}

BOOST_AUTO_TEST_CASE(Says_that_it_lives_where_it_breaks_a_probe_and_accepts_the_next_one)
{
    accept([this] { accepted.close(); });
    BOOST_TEST((probe() == false));
    BOOST_TEST(connections <= 2);
}

BOOST_AUTO_TEST_CASE(Says_that_it_lives_where_it_keeps_the_probe_open)
{
    accept([] {});
    BOOST_TEST((probe() == false));
}

BOOST_AUTO_TEST_SUITE_END()
