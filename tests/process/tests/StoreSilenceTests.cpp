#include "Eventually.h"
#include "FleetPair.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace carobpath::harness;
using namespace std::chrono_literals;

namespace {

/// A change must be in force this long after its acknowledgement.
constexpr auto applyBound = 2s;
/// Nodes whose store was disturbed keep the bounds again after this time.
constexpr auto settleTime = 3s;
/// Nodes read on within this time after news.
constexpr auto readOnTime = 1500ms;

std::string versionOf(int number, const std::string& prefix)
{
    auto text = fleetConfiguration;
    text.replace(text.find("\"r3\""), 4, "\"r" + std::to_string(number) + "\"");
    text.replace(text.find("/shop/\""), 7, prefix + "\"");
    return text;
}

struct SilentStore : FleetPair {
    /// Lets both nodes send their next read while the store takes calls and never answers them.
    void swallowReads()
    {
        putOrder(store.endpoint(), "config", versionOf(5, "/first/"));
        for (auto* node : { &a, &b })
            eventually(
                "the node has the news", [&] { return serves(*node, "/first/1"); }, applyBound);
        store.set(R"({"silent": true})");
        std::this_thread::sleep_for(readOnTime);
        store.set(R"({"silent": false})");
    }

    static bool serves(const FleetNode& node, const std::string& target)
    {
        return call(node.outbound(), fleetRequest(target, "c-" + std::to_string(std::rand()))).status == 200;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(Store_silence, SilentStore)

BOOST_AUTO_TEST_CASE(Nodes_whose_reads_a_silent_store_swallowed_take_the_next_configuration_in_time)
{
    serve();
    a.announce("i-a", "ready", 1);
    swallowReads();
    std::this_thread::sleep_for(settleTime);
    a.announce("i-a", "ready", 2);
    putOrder(store.endpoint(), "config", versionOf(9, "/second/"));
    for (auto* node : { &a, &b })
        eventually(
            "the new route is served", [&] { return serves(*node, "/second/1"); }, applyBound);
}

BOOST_AUTO_TEST_SUITE_END()
