#include "Eventually.h"
#include "Fleet.h"
#include "Objects.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace carobpath::harness;
using namespace std::chrono_literals;

namespace {

const std::string host = std::string("Host: ") + objects::bookingHost + "\r\n";

struct OneInstance {
    Fleet fleet;

    OneInstance()
    {
        fleet.add("amman-a", {}, "timeouts: {caller-header: 500ms, caller-idle: 1s}\nlimits: {header-bytes: 4KiB, body-bytes: 64KiB}\n");
        fleet.publishBooking();
    }

    void checkStillServes()
    {
        const auto answer = call(fleet.node(0).callers(), { "GET", objects::bookingHost, "/still", "", {}, 10s });
        BOOST_TEST(answer.status == 200U, answer.error);
    }
};

}

BOOST_FIXTURE_TEST_SUITE(Faulty_callers, OneInstance)

BOOST_AUTO_TEST_CASE(Bad_requests_are_refused_and_reach_no_backend_server)
{
    struct Row {
        std::string what;
        std::string bytes;
        std::string start;
    };
    const std::vector<Row> rows {
        { "no HTTP", "hello\r\n\r\n", "HTTP/1.1 400" },
        { "a bad version", "GET /x HTTP/9.9\r\n" + host + "\r\n", "HTTP/1.1 400" },
        { "a header without a colon", "GET /x HTTP/1.1\r\n" + host + "nonsense\r\n\r\n", "HTTP/1.1 400" },
        { "a header past its bound", "GET /x HTTP/1.1\r\n" + host + "X-Long: " + std::string(8'000, 'a') + "\r\n\r\n", "HTTP/1.1 431" },
        { "a body past its bound", "POST /booking HTTP/1.1\r\n" + host + "Content-Length: 70000\r\n\r\n" + std::string(70'000, 'b'), "HTTP/1.1 413" },
        { "two lengths that differ", "POST /booking HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde", "HTTP/1.1 400" },
    };
    for (const auto& row : rows) {
        const auto received = exchangeBytes(fleet.node(0).callers(), row.bytes, 10s);
        BOOST_TEST(received.substr(0, row.start.size()) == row.start, row.what << ": " << received.substr(0, 200));
    }
    BOOST_TEST(fleet.backend(0).runs().empty());
    checkStillServes();
}

BOOST_AUTO_TEST_CASE(A_caller_that_sends_half_a_request_is_cut_off_and_nothing_runs)
{
    for (const auto& bytes : { "GET /x HT", "POST /booking HTTP/1.1\r\nHost: booking.petra.example\r\nContent-Length: 100\r\n\r\nhalf" }) {
        exchangeBytes(fleet.node(0).callers(), bytes, 10s);
        exchangeBytes(fleet.node(0).callers(), bytes, 10s, true);
    }
    BOOST_TEST(fleet.backend(0).runs().empty());
    checkStillServes();
}

BOOST_AUTO_TEST_CASE(Many_silent_connections_do_not_keep_others_from_being_served)
{
    using tcp = boost::asio::ip::tcp;
    boost::asio::io_context context;
    const auto callers = fleet.node(0).callers();
    const auto port = static_cast<std::uint16_t>(std::stoi(callers.substr(callers.rfind(':') + 1)));
    std::vector<tcp::socket> silent;
    for (int i = 0; i < 200; ++i) {
        silent.emplace_back(context);
        silent.back().connect({ boost::asio::ip::make_address("127.0.0.1"), port });
    }
    checkStillServes();
}

BOOST_AUTO_TEST_CASE(A_caller_that_goes_away_cancels_its_call_at_the_backend_server)
{
    fleet.backend(0).set(R"({"freeze": true})");
    const auto answer = call(fleet.node(0).callers(), { "GET", objects::bookingHost, "/gone", "", {}, 300ms });
    BOOST_TEST(answer.status == 0U);
    fleet.backend(0).process().waitForEvent("cancelled");
}

BOOST_AUTO_TEST_SUITE_END()
