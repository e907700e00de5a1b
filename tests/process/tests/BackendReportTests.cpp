#include "FleetPair.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace carobpath::harness;
using namespace std::chrono_literals;

namespace {

constexpr auto window = 4s;
constexpr auto callInterval = 50ms;
/// Time after which the limit binds once it has been named.
constexpr auto limitBindsAfter = 3s;
constexpr double limitFactor = 1.5;
constexpr std::size_t limitSlack = 5;
/// Time for which a server that leaves may still get calls.
constexpr auto drainTime = 2s;

/// Backend servers that say of themselves in their answers what no announcement says.
struct ReportingBackends : FleetPair {
    std::uint64_t sequence = 0;
    int calls = 0;

    /// Only the server beside node a is announced, and as ready throughout.
    void announce() { a.announce("i-a", "ready", ++sequence); }

    /// Calls both nodes by turns for this time. \returns the answers.
    std::vector<CallerAnswer> callFor(std::chrono::milliseconds time)
    {
        std::vector<CallerAnswer> answers;
        for (const auto end = std::chrono::steady_clock::now() + time; std::chrono::steady_clock::now() < end;) {
            announce();
            const auto& node = ++calls % 2 == 0 ? a : b;
            answers.push_back(call(node.outbound(), fleetRequest("/shop/1", "c-" + std::to_string(calls))));
            std::this_thread::sleep_for(callInterval);
        }
        return answers;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(Backend_reports, ReportingBackends)

BOOST_AUTO_TEST_CASE(A_backend_server_gets_no_more_calls_than_the_limit_that_it_names)
{
    serve();
    announce();
    for (const auto* limit : { "2", "0.25" }) {
        backendA.set(R"({"answerHeaders": {"Server-Limit": ")" + std::string(limit) + R"("}})");
        callFor(limitBindsAfter);
        const auto before = runs();
        const auto answers = callFor(window);
        const double named = std::stod(limit);
        BOOST_TEST(runs() - before <= limitFactor * named * 4 + limitSlack);
        for (const auto& it : answers)
            BOOST_TEST((it.status == 200 || it.status == 503));
    }
}

BOOST_AUTO_TEST_CASE(A_backend_server_that_is_announced_as_ready_and_says_that_it_leaves_gets_no_calls)
{
    serve();
    announce();
    backendA.set(R"({"answerHeaders": {"Server-Leaving": "1"}})");
    callFor(drainTime);
    const auto before = runs();
    callFor(1s);
    BOOST_TEST(runs() == before);
}

BOOST_AUTO_TEST_SUITE_END()
