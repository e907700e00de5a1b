#include "Fleet.h"

#include <boost/test/unit_test.hpp>

using namespace carobpath::harness;

namespace {

constexpr int exitOk = 0;
constexpr int exitRejected = 3;
constexpr int exitUnavailable = 4;
constexpr int exitWithdrawn = 8;
constexpr int exitInProgress = 9;

/// Two nodes, and an operator of Petra's who has published the service booking with the client.
struct OperatedFleet {
    Fleet fleet { { "petra", "akwapim" } };
    std::unique_ptr<Operator> petra;

    OperatedFleet()
    {
        fleet.add("amman-a", {});
        fleet.add("amman-b", {});
        petra = std::make_unique<Operator>(fleet.operatorOf("petra"));
        const auto result = publish("versions: [{name: booking-1, service: booking}, {name: booking-2, service: booking}]\n"
                                    "services: [{name: booking, initial-version: booking-1, hosts: [booking.petra.example]}]\n",
            { "--wait" });
        BOOST_REQUIRE_EQUAL(result.status, exitOk);
    }

    OperatorResult publish(const std::string& objects, std::vector<std::string> options = {})
    {
        options.insert(options.begin(), { "--output", "json", "publish", fleet.directory().write("objects.yaml", objects) });
        return petra->run(options);
    }

    static std::string route(const std::string& prefix)
    {
        return "routes: [{name: browse, service: booking, path-prefix: " + prefix + "}]\n";
    }
};

nlohmann::json jsonOf(const OperatorResult& result)
{
    return nlohmann::json::parse(result.output, nullptr, false);
}

}

BOOST_FIXTURE_TEST_SUITE(Client, OperatedFleet)

BOOST_AUTO_TEST_CASE(An_append_whose_answer_is_lost_is_published_once)
{
    fleet.log().set(R"({"answerLostAfterWrite": 1})");
    const auto result = publish(route("/once"), { "--wait" });
    BOOST_TEST(result.status == exitOk, result.output + result.errors);
    const auto offset = jsonOf(result)["offset"].get<std::uint64_t>();
    const auto again = petra->run({ "--output", "json", "publish", "--id", jsonOf(result)["id"], "--delete", "route/browse" });
    BOOST_TEST(jsonOf(again).value("result", "") == "published-before", again.output);
    BOOST_TEST(jsonOf(again)["offset"] == offset);
    fleet.waitUntilInForce(offset);
    BOOST_TEST(fleet.node(0).adminJson("/v1/objects")["routes"].size() == 1U);
}

BOOST_AUTO_TEST_CASE(A_log_that_is_down_publishes_nothing_and_what_was_in_force_stays)
{
    fleet.log().set(R"({"down": true})");
    const auto result = publish(route("/down"), { "--timeout", "1s" });
    BOOST_TEST(result.status == exitUnavailable, result.output + result.errors);
    BOOST_TEST(petra->run({ "objects" }).output.find("service/booking") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(Of_operators_who_race_the_losers_are_told_so_and_every_node_has_the_winners_object)
{
    constexpr std::size_t operators = 6;
    std::vector<std::unique_ptr<Process>> runs;
    for (std::size_t i = 0; i < operators; ++i) {
        const auto file = fleet.directory().write("race-" + std::to_string(i) + ".yaml", route("/" + std::to_string(i)));
        runs.push_back(petra->start({ "publish", "--wait", file }));
    }
    int published = 0;
    for (auto& it : runs) {
        const int status = it->waitForExit(patience);
        BOOST_TEST((status == exitOk || status == exitRejected), status);
        published += status == exitOk ? 1 : 0;
    }
    BOOST_TEST(published >= 1);
    const auto first = fleet.node(0).adminJson("/v1/objects");
    BOOST_TEST(first["routes"].size() == 1U);
    BOOST_TEST(first == fleet.node(1).adminJson("/v1/objects"));
}

BOOST_AUTO_TEST_CASE(A_rival_member_changes_nothing_of_anothers_and_a_move_is_told)
{
    auto rival = fleet.operatorOf("akwapim");
    BOOST_TEST(rival.run({ "publish", "--delete", "service/booking" }).status != exitOk);
    const auto result = publish("moves: [{name: to-2, service: booking, to: booking-2, deadline: +10m}]\n", { "--wait" });
    BOOST_TEST(result.status == exitOk, result.output + result.errors);
    BOOST_TEST(rival.run({ "move", "status", "to-2" }).status == exitInProgress);
    BOOST_TEST(petra->run({ "publish", "--wait", "--delete", "move/to-2" }).status == exitOk);
    BOOST_TEST(petra->run({ "move", "status", "to-2", "--wait", "--timeout", "30s" }).status == exitWithdrawn);
}

BOOST_AUTO_TEST_SUITE_END()
