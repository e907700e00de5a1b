#include "Eventually.h"
#include "FleetPair.h"

#include "carobpath/platform/Base64.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <thread>

using namespace carobpath::harness;
using namespace std::chrono_literals;

namespace {

/// A change must be in force this long after its acknowledgement.
constexpr auto applyBound = 2s;
/// Time in which nodes notice a return of the store and write again what they alone know.
constexpr auto recoveryBound = 3s;
/// Age of the copy in the tests that lose part of the store: longer than the changes between the mark and the loss take.
constexpr auto lossWindow = 6s;
constexpr auto moveBound = 15s;

const std::string moveOrder = R"({"service":"booking","target-version":"v2","duration-s":4})";

std::string versionOf(int number, const std::string& prefix)
{
    auto text = fleetConfiguration;
    text.replace(text.find("\"r3\""), 4, "\"r" + std::to_string(number) + "\"");
    text.replace(text.find("/shop/\""), 7, prefix + "\"");
    return text;
}

struct ReturningStore : FleetPair {
    std::uint64_t sequence = 0;

    void publish(int number, const std::string& prefix)
    {
        putOrder(store.endpoint(), "config", versionOf(number, prefix));
        awaitRoute(prefix + "1");
    }

    void awaitRoute(const std::string& target)
    {
        a.announce("i-a", "ready", ++sequence);
        for (auto* node : { &a, &b })
            eventually(
                "the route is served", [&] { return serves(*node, target); }, applyBound);
    }

    static bool serves(const FleetNode& node, const std::string& target)
    {
        return call(node.outbound(), fleetRequest(target, "c-" + std::to_string(std::rand()))).status == 200;
    }

    /// Comes back from a copy of the age.
    void comeBack(std::chrono::milliseconds age)
    {
        store.set(R"({"comeBackFromCopyMs": )" + std::to_string(age.count()) + "}");
    }

    nlohmann::json newest(const std::string& topic) const { return newestRecords(store.endpoint(), topic); }
};

}

BOOST_FIXTURE_TEST_SUITE(Store_return, ReturningStore)

BOOST_AUTO_TEST_CASE(Configurations_hold_over_a_loss_and_the_next_one_at_an_offset_given_out_again_is_taken)
{
    serve();
    std::this_thread::sleep_for(lossWindow);
    publish(5, "/first/");
    publish(7, "/second/");
    comeBack(lossWindow - 1s);
    std::this_thread::sleep_for(recoveryBound);
    awaitRoute("/second/1");
    for (const auto* node : { &a, &b })
        BOOST_TEST(!serves(*node, "/shop/1"));
    putOrder(store.endpoint(), "config", versionOf(7, "/second/"));
    publish(9, "/third/");
}

BOOST_AUTO_TEST_CASE(A_move_that_was_taken_back_stays_so_and_nodes_are_listed_again_after_the_loss_of_everything)
{
    serve();
    putOrder(store.endpoint(), "rollout/booking", moveOrder);
    const auto isTakenBack = [&] {
        const auto states = newest("keyed.status");
        return states.size() == 1 && carobpath::platform::fromBase64(states[0]["value"].get<std::string>()).value_or("").find("rolled_back") != std::string::npos;
    };
    eventually("the move is taken back", isTakenBack, moveBound);
    comeBack(1h);
    BOOST_TEST(newest("keyed.status").empty());
    eventually(
        "both nodes are listed", [&] { return newest("keyed.carobpath-nodes").size() == 2; }, recoveryBound);
    putOrder(store.endpoint(), "config", versionOf(3, "/shop/"));
    putOrder(store.endpoint(), "rollout/booking", moveOrder);
    eventually("the state is written again", isTakenBack, recoveryBound);
}

BOOST_AUTO_TEST_SUITE_END()
