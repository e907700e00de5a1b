#include "Eventually.h"
#include "Fleet.h"
#include "Objects.h"
#include "RunAudit.h"

#include <boost/test/unit_test.hpp>

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

/// Four instances in two failure domains.
struct FourInstances {
    Fleet fleet;

    FourInstances()
    {
        for (const auto* domain : { "amman-a", "amman-b", "amman-a", "amman-b" })
            fleet.add(domain, {});
        fleet.publishBooking();
    }

    LoadRun startLoad(bool hasKeys)
    {
        LoadOptions options;
        options.targets = fleet.callerEndpoints();
        options.calls = { "2 GET booking.petra.example /catalog", "1 POST booking.petra.example /booking" };
        options.rate = 100;
        options.duration = 60s;
        options.timeout = 6s;
        options.hasKeys = hasKeys;
        return { fleet.directory(), options };
    }

    void waitForCalls(const LoadRun& load, std::size_t count)
    {
        const auto before = load.calls().size();
        eventually("calls go on", [&] { return load.calls().size() > before + count; });
    }

    RunAudit endOf(LoadRun& load)
    {
        load.stop();
        load.summary();
        return auditRuns(load.calls(), fleet.runs());
    }

    void checkAllServe()
    {
        for (std::size_t i = 0; i < fleet.instances().size(); ++i) {
            eventually("calls through " + fleet.node(i).name() + " are answered", [&] {
                return call(fleet.node(i).callers(), get("/after")).status == 200;
            });
        }
    }
};

}

BOOST_FIXTURE_TEST_SUITE(Faults, FourInstances)

BOOST_AUTO_TEST_CASE(Bookings_run_at_most_once_while_nodes_are_killed_in_herds_and_return)
{
    auto load = startLoad(false);
    for (int round = 0; round < 2; ++round) {
        waitForCalls(load, 100);
        fleet.node(0).process().kill();
        fleet.node(1).process().kill();
        waitForCalls(load, 100);
        fleet.node(0).start();
        fleet.node(1).start();
    }
    fleet.waitUntilInForce(0);
    checkAllServe();
    const auto audit = endOf(load);
    BOOST_TEST(audit.isClean(), describe(audit));
    BOOST_TEST(audit.answered > 0U);
}

BOOST_AUTO_TEST_CASE(A_node_that_comes_back_has_no_older_configuration_than_it_held_even_with_the_log_down)
{
    const auto offset = fleet.publisherOf("petra").publish(objects::bookingVersion("booking-9"));
    fleet.waitUntilInForce(offset);
    fleet.log().set(R"({"down": true})");
    fleet.node(2).process().kill();
    fleet.node(2).start();
    const auto inForce = fleet.node(2).process().waitForEvent("configuration-in-force");
    BOOST_TEST(inForce["offset"] == offset);
    checkAllServe();
}

BOOST_AUTO_TEST_CASE(A_frozen_backend_server_and_a_frozen_node_cost_no_booking_a_second_run)
{
    auto load = startLoad(false);
    waitForCalls(load, 100);
    fleet.backend(0).process().freeze();
    fleet.node(1).process().freeze();
    waitForCalls(load, 200);
    fleet.backend(0).process().thaw();
    fleet.node(1).process().thaw();
    waitForCalls(load, 100);
    checkAllServe();
    const auto audit = endOf(load);
    BOOST_TEST(audit.isClean(), describe(audit));
}

BOOST_AUTO_TEST_CASE(Calls_go_on_while_the_log_is_down_and_a_record_is_in_force_once_it_is_back)
{
    fleet.log().set(R"({"down": true})");
    auto load = startLoad(false);
    waitForCalls(load, 200);
    fleet.log().set(R"({"down": false})");
    const auto offset = fleet.publisherOf("petra").publish(objects::bookingVersion("booking-9"));
    fleet.waitUntilInForce(offset);
    const auto audit = endOf(load);
    BOOST_TEST(audit.isClean(), describe(audit));
    BOOST_TEST(audit.answered == audit.calls, describe(audit));
}

BOOST_AUTO_TEST_CASE(A_record_whose_answer_was_lost_and_that_is_appended_again_takes_effect_once)
{
    auto petra = fleet.publisherOf("petra");
    const auto record = petra.record(objects::bookingVersion("booking-9"), petra.next());
    fleet.log().set(R"({"answerLostAfterWrite": 1})");
    BOOST_TEST(petra.append(record) == 0U);
    std::uint64_t second = 0;
    BOOST_TEST(petra.append(record, &second) == 200U);
    for (auto& instance : fleet.instances()) {
        const auto rejected = instance.node->process().waitForEvent("record-rejected", [&](const auto& it) { return it["offset"] == second; });
        BOOST_TEST(rejected["outcome"] == "duplicate");
        BOOST_TEST(instance.node->adminJson("/v1/status")["configuration"]["offset"] == second - 1);
    }
}

BOOST_AUTO_TEST_CASE(Of_two_operators_who_race_for_one_object_the_first_in_the_log_wins_on_every_node)
{
    auto first = fleet.publisherOf("petra");
    auto second = fleet.publisherOf("petra");
    const auto base = first.next();
    const auto records = { first.record(objects::bookingMove("race", "booking-2", "+1h", "+2h"), base), second.record(objects::bookingMove("race", "booking-2", "+3h", "+4h"), base) };
    std::uint64_t loser = 0;
    for (const auto& record : records)
        BOOST_TEST(first.append(record, &loser) == 200U);
    std::string startAt;
    for (auto& instance : fleet.instances()) {
        instance.node->process().waitForEvent("record-rejected", [&](const auto& it) { return it["offset"] == loser; });
        const auto report = instance.node->adminJson("/v1/moves/race");
        startAt = startAt.empty() ? report["startAt"].get<std::string>() : startAt;
        BOOST_TEST(report["startAt"] == startAt);
    }
}

BOOST_AUTO_TEST_CASE(One_call_that_crashes_backend_servers_is_sent_to_no_more_than_two)
{
    const auto answer = call(fleet.node(0).callers(), get("/crash-mark"));
    BOOST_TEST(answer.outcome() == "unknown");
    BOOST_TEST(fleet.runsOf("/crash-mark") <= 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Silent_connections)

BOOST_AUTO_TEST_CASE(A_backend_server_behind_connections_that_went_silent_is_reached_by_new_ones)
{
    Fleet fleet;
    fleet.add("amman-a", {}, "timeouts: {progress: 1s}\n");
    fleet.publishBooking();
    const std::string callers = fleet.node(0).callers();
    RelayStandin relay(fleet.directory(), "backend", fleet.backend(0).endpoint());
    const auto port = relay.endpoint().substr(relay.endpoint().rfind(':') + 1);
    fleet.backend(0).process().freeze();
    CallerRequest announcement;
    announcement.method = "PUT";
    announcement.target = "/v1/upstream";
    announcement.body = R"({"service": "booking", "version": "booking-1", "address": "127.0.0.1", "port": )" + port + R"(, "slots": 6, "connections": 130, "state": "ready"})";
    BOOST_REQUIRE_EQUAL(call(fleet.node(0).admin(), announcement).status, 204U);
    fleet.backend(0).process().thaw();
    BOOST_TEST(call(callers, get("/before")).status == 200U);
    relay.set(R"({"silenceOpen": true})");
    eventually("calls are answered over new connections", [&] { return call(callers, get("/after")).status == 200; });
}

BOOST_AUTO_TEST_SUITE_END()
