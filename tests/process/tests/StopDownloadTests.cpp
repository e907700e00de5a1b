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

/// Two instances with 4 s to stop, whose backend servers write bodies slowly.
struct SlowDownloads {
    static constexpr std::size_t s_bytes = 500'000;
    static constexpr std::size_t s_bytesPerSecond = 200'000;

    Fleet fleet;

    SlowDownloads()
    {
        BackendOptions options;
        options.slots = 40;
        const std::string settings = "drain: {accept: 10s, grace: 4s}";
        fleet.add("amman-a", options, settings);
        fleet.add("amman-b", options, settings);
        fleet.publishBooking();
    }

    static std::string pathOf(int number) { return "/reports/" + std::to_string(number) + "/"; }

    /// Starts a download at the first node on a connection of its own.
    std::future<CallerAnswer> startDownload(int number, std::size_t bytes = s_bytes)
    {
        CallerRequest request;
        request.host = objects::bookingHost;
        request.target = pathOf(number) + "?bytes=" + std::to_string(bytes) + "&rate=" + std::to_string(s_bytesPerSecond);
        return std::async(std::launch::async, [this, request] { return call(fleet.node(0).callers(), request); });
    }
};

}

BOOST_FIXTURE_TEST_SUITE(Downloads_at_a_stop, SlowDownloads)

// Guards against downloads that a stopping node takes although their bodies outlast it.
BOOST_AUTO_TEST_CASE(A_download_that_comes_after_SIGTERM_is_whole_or_refused_as_not_run)
{
    constexpr int before = 3;
    constexpr int after = 30;
    constexpr auto interval = 100ms;
    std::vector<std::future<CallerAnswer>> known;
    known.reserve(before);
    for (int i = 0; i < before; ++i)
        known.push_back(startDownload(after + i));
    for (auto& it : known)
        BOOST_TEST(it.get().body.size() == s_bytes);
    fleet.node(0).process().terminate();
    std::vector<std::future<CallerAnswer>> answers;
    answers.reserve(after);
    for (int i = 0; i < after; ++i) {
        answers.push_back(startDownload(i));
        std::this_thread::sleep_for(interval);
    }
    for (int i = 0; i < after; ++i) {
        const auto answer = answers[static_cast<std::size_t>(i)].get();
        const bool isWhole = answer.status == 200U && answer.body.size() == s_bytes;
        const bool isRefused = answer.status == 503U && answer.outcome() == "not-run";
        BOOST_TEST_CONTEXT("download " << i)
        {
            BOOST_TEST((isWhole || isRefused), "status " << answer.status << ", " << answer.error);
            BOOST_TEST((!isRefused || fleet.runsOf(pathOf(i)) == 0U));
        }
    }
}

// Guards against connections that a node closes at its end without a word on the calls that wait for their answers.
BOOST_AUTO_TEST_CASE(A_download_that_has_no_answer_when_its_node_ends_is_told_so)
{
    for (auto& it : fleet.instances())
        it.backend->set(R"({"freeze": true})");
    auto download = startDownload(1);
    eventually("the download runs", [&] { return fleet.runsOf(pathOf(1)) > 0; });
    fleet.node(0).process().terminate();
    const auto answer = download.get();
    BOOST_TEST(answer.status == 504U, answer.error);
    BOOST_TEST(answer.outcome() == "unknown");
    BOOST_TEST(fleet.node(0).process().waitForExit() == 0);
}

BOOST_AUTO_TEST_CASE(A_download_that_is_cut_at_the_end_stands_in_the_time_line)
{
    auto download = startDownload(1, 20 * s_bytes);
    eventually("the download runs", [&] { return fleet.runsOf(pathOf(1)) > 0; });
    fleet.node(0).process().terminate();
    BOOST_TEST(download.get().status == 0U);
    const auto ended = fleet.node(0).process().waitForEvent("call-ended", [](const EventLine& it) { return it.value("answer", "") == "cut-by-stop"; });
    BOOST_TEST(ended.contains("headerMs"));
    BOOST_TEST(fleet.node(0).process().waitForEvent("stopped")["cut"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()
