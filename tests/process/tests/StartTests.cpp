#include "Eventually.h"
#include "NodeProcess.h"
#include "Standins.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>

#include <csignal>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

using namespace carobpath::harness;
using namespace std::chrono_literals;

namespace {

/// Takes an address as another process would.
class TakenAddress {
public:
    explicit TakenAddress(const std::string& address)
        : m_acceptor(m_context)
    {
        const auto colon = address.rfind(':');
        const boost::asio::ip::tcp::endpoint endpoint { boost::asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) };
        m_acceptor.open(endpoint.protocol());
        // A process that is started meanwhile must not inherit it.
        ::fcntl(m_acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
        m_acceptor.set_option(boost::asio::socket_base::reuse_address { true });
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    }

    void release() { m_acceptor.close(); }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

struct StoppedNode {
    TemporaryDirectory directory;
    LogStandin log { directory };
    std::unique_ptr<NodeProcess> node;

    StoppedNode()
    {
        NodeOptions options;
        options.logEndpoint = log.endpoint();
        options.fleetKey = makeMember("fleet").privateKey;
        options.members = { makeMember("petra") };
        node = std::make_unique<NodeProcess>(directory, options);
        node->start();
        node->process().kill();
        node->process().waitForExit();
    }

    /// \returns what the process of the second start wrote to standard error.
    std::string errors() const
    {
        std::ifstream file { directory.path() / (node->name() + "-2.err") };
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }
};

}

BOOST_FIXTURE_TEST_SUITE(Taken_addresses, StoppedNode)

// Guards against a node that ends for good since one of its ports was taken for a moment when it started.
BOOST_AUTO_TEST_CASE(A_node_starts_once_its_address_is_free)
{
    for (const auto& address : { node->callers(), node->peer(), node->admin() }) {
        BOOST_TEST_CONTEXT(address)
        {
            node->process().kill();
            TakenAddress taken { address };
            // The node ends with the thread that starts it.
            auto released = std::async(std::launch::async, [&taken] {
                std::this_thread::sleep_for(2s);
                taken.release();
            });
            BOOST_CHECK_NO_THROW(node->start());
            released.get();
            BOOST_TEST(node->process().isRunning());
        }
    }
}

// Guards against a node that SIGHUP ends while it starts.
BOOST_AUTO_TEST_CASE(A_node_that_is_told_to_read_its_settings_while_it_starts_goes_on)
{
    TakenAddress taken { node->callers() };
    auto disturbed = std::async(std::launch::async, [&] {
        std::this_thread::sleep_for(1s);
        ::kill(node->process().id(), SIGHUP);
        taken.release();
    });
    BOOST_CHECK_NO_THROW(node->start());
    disturbed.get();
    node->process().waitForEvent("settings-reloaded");
    BOOST_TEST(node->process().isRunning());
}

BOOST_AUTO_TEST_CASE(A_node_that_is_told_to_stop_while_it_waits_for_an_address_ends_with_status_0)
{
    const TakenAddress taken { node->callers() };
    auto disturbed = std::async(std::launch::async, [this] {
        std::this_thread::sleep_for(1s);
        node->process().terminate();
    });
    BOOST_CHECK_THROW(node->start(), std::exception);
    BOOST_TEST(node->process().waitForExit() == 0);
}

BOOST_AUTO_TEST_CASE(A_node_whose_address_stays_taken_ends_and_names_the_address)
{
    const TakenAddress taken { node->callers() };
    BOOST_CHECK_THROW(node->start(), std::exception);
    BOOST_TEST(node->process().waitForExit() == 4);
    BOOST_TEST(errors().find("cannot listen on " + node->callers()) != std::string::npos);
    BOOST_TEST(errors().find("trying again") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
