#include "Eventually.h"
#include "FleetPair.h"

#include "carobpath/platform/Base64.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace carobpath::harness;
using namespace std::chrono_literals;

namespace {

const std::string statusTopic = "keyed.status";
const std::string moveKey = "rollout/booking";
/// Long enough that the move does not end within a test.
const std::string longMove = R"({"service":"booking","target-version":"v2","duration-s":60})";
constexpr auto serveBound = 8s;

struct MovingPair : FleetPair {
    std::uint64_t calls = 0;

    bool isServed() { return call(b.outbound(), fleetRequest("/shop/1", "c-" + std::to_string(++calls))).status == 200; }

    /// \returns the state of the move in the store; null if there is none.
    nlohmann::json status() const
    {
        const auto records = newestRecords(store.endpoint(), statusTopic);
        if (records.empty())
            return nullptr;
        return nlohmann::json::parse(carobpath::platform::fromBase64(records[0]["value"].get<std::string>()).value());
    }

    /// Puts a state of the order before in the place of the newest one: the version in service was rolled back.
    void putStaleStatus()
    {
        auto stale = status();
        stale["order-offset"] = stale["order-offset"].get<std::uint64_t>() - 1;
        stale["target-version"] = "v1";
        stale["state"] = "rolled_back";
        stale["serving-versions"] = { "v0" };
        putRecord(store.endpoint(), statusTopic, moveKey, stale.dump());
    }

    bool isNewestStatus() const { return status()["target-version"] == "v2"; }

    void beginMove()
    {
        serve();
        a.announce("i-a", "ready", 1);
        eventually("calls are served", [&] { return isServed(); });
        putOrder(store.endpoint(), moveKey, longMove);
        eventually("the move is running", [&] { return !status().is_null(); });
    }
};

}

BOOST_FIXTURE_TEST_SUITE(Stale_status, MovingPair)

// Guards against a state of an earlier order that stays in the store, where nodes that start later believe it.
BOOST_AUTO_TEST_CASE(A_state_of_an_earlier_order_in_the_store_is_written_over)
{
    beginMove();
    putStaleStatus();
    eventually(
        "the newest state is written again", [&] { return isNewestStatus(); }, serveBound);
    BOOST_TEST(isServed());
}

// Guards against a service that refuses every call after all processes were killed, since the version in service was taken for rejected.
BOOST_AUTO_TEST_CASE(A_stale_state_in_the_store_rejects_no_version_in_service_once_all_processes_were_killed)
{
    beginMove();
    a.process().freeze();
    b.process().freeze();
    putStaleStatus();
    a.restart();
    b.restart();
    for (auto* node : { &a, &b })
        eventually("the node is ready", [&] { return node->readiness() == 200; });
    a.announce("i-a", "ready", 2);
    eventually(
        "calls are served", [&] { return isServed(); }, serveBound);
    eventually(
        "the newest state is written again", [&] { return isNewestStatus(); }, serveBound);
}

BOOST_AUTO_TEST_SUITE_END()
