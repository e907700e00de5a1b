#include "Eventually.h"
#include "Fleet.h"
#include "Objects.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>
#include <vector>

using namespace carobpath::harness;
using namespace std::chrono_literals;

namespace {

CallerRequest get(const std::string& target)
{
    CallerRequest request;
    request.host = objects::bookingHost;
    request.target = target;
    return request;
}

struct TwoInstances {
    Fleet fleet;

    TwoInstances()
    {
        fleet.add("amman-a", {});
        fleet.add("amman-b", {});
        fleet.publishBooking();
    }

    /// Starts a download of some seconds and waits until a backend server runs it.
    std::future<CallerAnswer> startDownload(std::size_t node)
    {
        auto download = std::async(std::launch::async, [this, node] { return call(fleet.node(node).callers(), get(downloadTarget)); });
        eventually("the download runs", [&] { return fleet.runsOf("/reports/") > 0; });
        return download;
    }

    const std::string downloadTarget = "/reports/long?bytes=400000&rate=200000";
    const std::size_t downloadBytes = 400'000;
};

}

BOOST_FIXTURE_TEST_SUITE(Graceful_shutdown, TwoInstances)

BOOST_AUTO_TEST_CASE(A_node_that_is_stopped_ends_the_download_that_entered_at_it)
{
    auto download = startDownload(0);
    fleet.node(0).process().terminate();
    const auto answer = download.get();
    BOOST_TEST(answer.status == 200U, answer.error);
    BOOST_TEST(answer.body.size() == downloadBytes);
    BOOST_TEST(fleet.node(0).process().waitForExit() == 0);
}

BOOST_AUTO_TEST_CASE(A_node_that_is_stopped_beside_the_running_backend_server_ends_the_download)
{
    auto download = startDownload(0);
    const std::size_t runner = fleet.backend(0).runsOf("/reports/") > 0 ? 0 : 1;
    fleet.node(runner).process().terminate();
    const auto answer = download.get();
    BOOST_TEST(answer.status == 200U, answer.error);
    BOOST_TEST(answer.body.size() == downloadBytes);
    BOOST_TEST(fleet.node(runner).process().waitForExit() == 0);
}

BOOST_AUTO_TEST_CASE(A_backend_server_that_drains_gets_no_new_call_and_ends_its_download)
{
    auto download = startDownload(0);
    const std::size_t runner = fleet.backend(0).runsOf("/reports/") > 0 ? 0 : 1;
    fleet.backend(runner).process().terminate();
    fleet.backend(runner).process().waitForEvent("draining");
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(call(fleet.node(runner).callers(), get("/late?call=" + std::to_string(i))).status == 200U);
    BOOST_TEST(fleet.backend(runner).runsOf("/late") == 0U);
    BOOST_TEST(download.get().body.size() == downloadBytes);
}

BOOST_AUTO_TEST_CASE(An_idle_node_ends_at_once_with_status_0)
{
    fleet.node(1).process().terminate();
    BOOST_TEST(fleet.node(1).process().waitForExit() == 0);
    fleet.node(1).process().waitForEvent("stopped");
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// Two instances whose calls take a good part of the time that a node has to stop.
struct SlowInstances {
    static constexpr auto s_work = 1'500ms;

    Fleet fleet;

    SlowInstances()
    {
        BackendOptions options;
        options.work = s_work;
        options.slots = 20;
        const std::string settings = "drain: {accept: 10s, grace: 4s}";
        fleet.add("amman-a", options, settings);
        fleet.add("amman-b", options, settings);
        fleet.publishBooking();
    }

    /// Books on a connection of its own.
    std::future<CallerAnswer> startBooking(int number)
    {
        auto request = get("/booking/" + std::to_string(number) + "/");
        request.method = "POST";
        return std::async(std::launch::async, [this, request] { return call(fleet.node(0).callers(), request); });
    }
};

}

BOOST_FIXTURE_TEST_SUITE(Shutdown_under_slow_calls, SlowInstances)

// Guards against bookings that come late in the time of grace, are passed on, and are cut at its end without an answer.
BOOST_AUTO_TEST_CASE(A_call_that_comes_late_is_answered_or_refused_as_not_run)
{
    constexpr int bookings = 30;
    constexpr auto interval = 100ms;
    fleet.node(0).process().terminate();
    std::vector<std::future<CallerAnswer>> answers;
    for (int i = 0; i < bookings; ++i) {
        answers.push_back(startBooking(i));
        std::this_thread::sleep_for(interval);
    }
    for (int i = 0; i < bookings; ++i) {
        const auto answer = answers[static_cast<std::size_t>(i)].get();
        const bool isRefused = answer.status == 503U && answer.outcome() == "not-run";
        BOOST_TEST_CONTEXT("booking " << i)
        {
            BOOST_TEST((answer.status == 200U || isRefused), "status " << answer.status << ", " << answer.error);
            BOOST_TEST((!isRefused || fleet.runsOf("/booking/" + std::to_string(i) + "/") == 0U));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
