#include "Eventually.h"
#include "Fleet.h"
#include "Objects.h"
#include "RunAudit.h"

#include <boost/test/unit_test.hpp>

using namespace carobpath::harness;
using namespace std::chrono_literals;

namespace {

constexpr auto moveBound = 60s;

/// Two old and two new instances with a load running.
struct MovingFleet {
    Fleet fleet;
    std::unique_ptr<LoadRun> load;

    MovingFleet()
    {
        for (const auto* version : { "booking-1", "booking-2", "booking-1", "booking-2" }) {
            BackendOptions options;
            options.version = version;
            fleet.add(fleet.instances().size() % 2 == 0 ? "amman-a" : "amman-b", options);
        }
        fleet.publishBooking();
        LoadOptions options;
        options.targets = fleet.callerEndpoints();
        options.calls = { "3 GET booking.petra.example /catalog", "1 POST booking.petra.example /booking" };
        options.rate = 100;
        options.duration = 120s;
        load = std::make_unique<LoadRun>(fleet.directory(), options);
    }

    /// Publishes a move and waits for its end on every node. \returns the report of the first.
    nlohmann::json move(const std::string& name, const std::string& deadline)
    {
        fleet.publisherOf("petra").publish(objects::bookingMove(name, "booking-2", "+0s", deadline));
        for (auto& instance : fleet.instances()) {
            eventually(
                name + " ends on " + instance.node->name(), [&] {
                    const auto report = instance.node->adminJson("/v1/moves/" + name);
                    return report.is_object() && report["state"] != "in-progress" && report["recorded"] == true;
                },
                moveBound);
        }
        return fleet.node(0).adminJson("/v1/moves/" + name);
    }

    RunAudit endOfLoad()
    {
        load->stop();
        load->summary();
        return auditRuns(load->calls(), fleet.runs());
    }
};

}

BOOST_FIXTURE_TEST_SUITE(Moves, MovingFleet)

BOOST_AUTO_TEST_CASE(A_good_version_gets_all_traffic_by_its_deadline)
{
    const auto ended = move("to-2", "+15s");
    BOOST_TEST(ended["state"] == "done", ended.dump());
    eventually("only the new version runs calls", [&] {
        const auto answer = call(fleet.node(0).callers(), { "GET", objects::bookingHost, "/catalog", "", {}, 5s });
        return answer.header("x-version") == "booking-2";
    });
    const auto audit = endOfLoad();
    BOOST_TEST(audit.isClean(), describe(audit));
    BOOST_TEST(audit.withoutAnswer == 0U, describe(audit));
}

BOOST_AUTO_TEST_CASE(A_version_that_fails_is_taken_back_and_gets_no_more_calls)
{
    for (const std::size_t i : { 1U, 3U })
        fleet.backend(i).set(R"({"failRate": 1})");
    const auto ended = move("to-2", "+60s");
    BOOST_TEST(ended["state"] == "taken-back", ended.dump());
    eventually("no node sends to the bad version", [&] {
        const auto before = fleet.backend(1).runs().size() + fleet.backend(3).runs().size();
        const auto good = fleet.backend(0).runs().size();
        eventually("calls go on", [&] { return fleet.backend(0).runs().size() > good + 20; });
        return fleet.backend(1).runs().size() + fleet.backend(3).runs().size() == before;
    });
    const auto audit = endOfLoad();
    BOOST_TEST(audit.isClean(), describe(audit));
}

BOOST_AUTO_TEST_SUITE_END()
