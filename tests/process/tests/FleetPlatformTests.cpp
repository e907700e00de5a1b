#include "Eventually.h"
#include "FleetPair.h"
#include "Programs.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace carobpath::harness;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(Fleet_platform, FleetPair)

BOOST_AUTO_TEST_CASE(Before_the_first_configuration_nothing_is_served_and_nothing_is_promised_away)
{
    BOOST_TEST(a.readiness() == 503U);
    BOOST_TEST(call(a.outbound(), fleetRequest("/shop/1", "c-1")).status == 503U);
}

BOOST_AUTO_TEST_CASE(A_call_goes_through_two_nodes_to_the_only_backend_server)
{
    serve();
    BOOST_TEST(b.announce("i-b", "ready", 1) == 200U);
    // Node a finds node b through the directory alone: the settings name no node.
    eventually("a call at node a is served beside node b", [&] { return call(a.outbound(), fleetRequest("/shop/1", "c-" + std::to_string(std::rand()))).status == 200; });
    BOOST_TEST(backendA.runs().empty());
    BOOST_TEST(!backendB.runs().empty());
    BOOST_TEST(call(a.outbound(), fleetRequest("/other/1", "c-404")).status == 404U);
}

BOOST_AUTO_TEST_CASE(What_each_node_decided_on_a_call_stands_under_its_id)
{
    serve();
    a.announce("i-a", "ready", 1);
    eventually("a call is served", [&] { return call(a.outbound(), fleetRequest("/shop/1", "c-77")).status == 200; });
    const auto isOurs = [](const EventLine& it) { return it.value("request", "") == "c-77"; };
    BOOST_TEST(a.process().waitForEvent("call-ended", isOurs)["route"] == "read");
    a.process().waitForEvent("backend-ended", isOurs);
}

BOOST_AUTO_TEST_CASE(An_acknowledged_leaving_binds_at_once_and_the_refusal_says_that_the_call_has_not_run)
{
    serve();
    a.announce("i-a", "ready", 1);
    eventually("a call is served", [&] { return call(a.outbound(), fleetRequest("/shop/orders/1", "c-" + std::to_string(std::rand()), "POST")).status == 200; });
    const auto before = runs();
    BOOST_TEST(a.announce("i-a", "draining", 2) == 200U);
    const auto refused = call(a.outbound(), fleetRequest("/shop/orders/2", "c-late", "POST"));
    BOOST_TEST(refused.status == 503U);
    BOOST_TEST(!refused.header("retry-after").empty());
    BOOST_TEST(runs() == before);
    BOOST_TEST(a.announce("i-a", "ready", 1) == 409U);
    BOOST_TEST(a.depart("i-a") == 200U);
}

BOOST_AUTO_TEST_CASE(A_later_configuration_is_in_force_within_seconds_and_an_earlier_one_never_again)
{
    serve();
    a.announce("i-a", "ready", 1);
    auto next = fleetConfiguration;
    next.replace(next.find("\"r3\""), 4, "\"r9\"");
    next.replace(next.find("/shop/\""), 7, "/sale/\"");
    putOrder(store.endpoint(), "config", next);
    eventually(
        "the new route is served", [&] { return call(a.outbound(), fleetRequest("/sale/1", "c-" + std::to_string(std::rand()))).status == 200; }, 2s);
    putOrder(store.endpoint(), "config", fleetConfiguration);
    std::this_thread::sleep_for(1s);
    BOOST_TEST(call(a.outbound(), fleetRequest("/sale/1", "c-still")).status == 200U);
}

BOOST_AUTO_TEST_CASE(A_configuration_that_is_wrong_in_one_part_changes_nothing)
{
    serve();
    a.announce("i-a", "ready", 1);
    auto wrong = fleetConfiguration;
    wrong.replace(wrong.find("\"r3\""), 4, "\"r9\"");
    wrong.replace(wrong.find("\"service\":\"booking\""), 19, "\"service\":\"nowhere\"");
    putOrder(store.endpoint(), "config", wrong);
    BOOST_TEST(a.process().waitForEvent("configuration-refused")["field"] == "routes[0].service");
    BOOST_TEST(call(a.outbound(), fleetRequest("/shop/1", "c-1")).status == 200U);
}

BOOST_AUTO_TEST_CASE(A_node_serves_on_while_the_store_is_away_and_reads_what_it_missed)
{
    serve();
    a.announce("i-a", "ready", 1);
    store.set(R"({"down": true})");
    a.process().waitForEvent("log-unavailable");
    BOOST_TEST(call(a.outbound(), fleetRequest("/shop/1", "c-away")).status == 200U);
    BOOST_TEST(a.readiness() == 200U);
    store.set(R"({"down": false})");
    a.process().waitForEvent("log-available");
}

BOOST_AUTO_TEST_CASE(SIGHUP_reads_the_settings_again_and_SIGTERM_denies_readiness_and_ends_the_daemon)
{
    serve();
    ::kill(a.process().id(), SIGHUP);
    a.process().waitForEvent("settings-reloaded");
    BOOST_TEST(a.readiness() == 200U);
    a.process().terminate();
    a.process().waitForEvent("draining");
    BOOST_TEST(a.readiness() == 503U);
    BOOST_TEST(a.process().waitForExit() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Platform_folder)

BOOST_AUTO_TEST_CASE(No_source_outside_of_it_knows_the_platforms_names)
{
    const std::vector<std::string> names { "Carobpath-Attempt-Id", "Carobpath-Deadline-Remaining-Ms", "Carobpath-Expected-Instance", "Carobpath-Caller-Service", "Carobpath-Not-Executed",
        "/v1/instances", "/v1/readiness", "/v1/log-", "target-version", "weighted-services", "route-kind", "\"keyed.", "rolled_back" };
    for (const auto& file : std::filesystem::recursive_directory_iterator(std::string(programs::sourceDirectory) + "/packages")) {
        const bool isSource = file.path().extension() == ".h" || file.path().extension() == ".cpp";
        if (!isSource || file.path().string().find("/tests/") != std::string::npos)
            continue;
        std::ifstream in(file.path());
        const std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
        for (const auto& name : names)
            BOOST_TEST(text.find(name) == std::string::npos, file.path().string() + " knows " + name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
