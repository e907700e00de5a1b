#include "carobpath/routing/WeightedRoundRobin.h"

#include "EntryFixture.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace carobpath::routing::tests {

namespace {

    std::vector<publication::Destination> destinations(std::uint32_t first, std::uint32_t second)
    {
        return { { ServiceName { "a" }, first }, { ServiceName { "b" }, second } };
    }

    std::map<std::string, int> countsOf(WeightedRoundRobin& roundRobin, int calls)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < calls; ++i)
            ++counts[roundRobin.next().value()];
        return counts;
    }

}

BOOST_AUTO_TEST_SUITE(RouteWeights)

BOOST_AUTO_TEST_CASE(Each_destination_receives_its_share_of_a_short_sequence_of_calls)
{
    for (const double phase : { 0.0, 0.3, 0.99 }) {
        WeightedRoundRobin roundRobin;
        roundRobin.update(destinations(90, 10), phase);
        auto counts = countsOf(roundRobin, 40);
        BOOST_TEST(counts["b"] >= 3);
        BOOST_TEST(counts["b"] <= 5);
    }
}

BOOST_AUTO_TEST_CASE(A_destination_with_weight_zero_receives_no_calls)
{
    WeightedRoundRobin roundRobin;
    roundRobin.update(destinations(1, 0), 0.5);
    BOOST_TEST(countsOf(roundRobin, 10)["b"] == 0);
}

BOOST_AUTO_TEST_CASE(New_weights_apply_from_the_next_call)
{
    WeightedRoundRobin roundRobin;
    roundRobin.update(destinations(1, 0), 0.5);
    roundRobin.next();
    roundRobin.update(destinations(0, 1), 0.5);
    BOOST_TEST(countsOf(roundRobin, 10)["b"] == 10);
}

BOOST_AUTO_TEST_CASE(Calls_for_a_destination_without_upstreams_are_refused_and_not_sent_to_another)
{
    auto configuration = std::make_shared<publication::ConfigurationVersion>(*makeConfiguration());
    auto& route = configuration->set.routes[RouteName { "read" }].route;
    route.destinations = { { ServiceName { "booking" }, 1 }, { ServiceName { "absent" }, 1 } };
    configuration->set.services[ServiceName { "absent" }].service.name = ServiceName { "absent" };
    EntryRouter router { std::mt19937_64 { 7 } };
    router.setConfiguration(configuration);
    router.setMembership(makeView({ makeNode("n1", "v1") }));
    router.setReady(true);
    int sent = 0;
    for (int i = 0; i < 100; ++i)
        sent += std::holds_alternative<SendAttempt>(router.begin(makeCall("GET", "/x"), startTime)->start(startTime)) ? 1 : 0;
    BOOST_TEST(sent == 50);
}

BOOST_AUTO_TEST_CASE(A_route_with_its_own_hosts_matches_calls_to_these_hosts_only)
{
    auto configuration = std::make_shared<publication::ConfigurationVersion>(*makeConfiguration());
    auto route = makeRoute("own", "/shop/", {}, publication::Repeatability::Repeatable);
    route.hosts = { "shop.petra" };
    configuration->set.routes[route.name].route = route;
    const RouteTable table { configuration };
    const auto found = table.find("shop.petra", "GET", "/shop/1");
    BOOST_REQUIRE(std::holds_alternative<RouteTable::Match>(found));
    BOOST_TEST(std::get<RouteTable::Match>(found)->name.value() == "own");
    BOOST_TEST(std::holds_alternative<RouteLookupError>(table.find("shop.petra", "GET", "/bookings")));
}

BOOST_AUTO_TEST_SUITE_END()

}
