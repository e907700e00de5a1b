#include "Eventually.h"
#include "Fleet.h"
#include "Objects.h"

#include <boost/test/unit_test.hpp>

using namespace carobpath::harness;
using namespace std::chrono_literals;

namespace {

CallerRequest bookingRequest(const std::string& method, const std::string& target)
{
    CallerRequest request;
    request.method = method;
    request.host = objects::bookingHost;
    request.target = target;
    return request;
}

/// Three failure domains with one instance each, and Petra's objects in force.
struct BookingFleet {
    Fleet fleet;

    BookingFleet()
    {
        for (const auto* domain : { "amman-a", "amman-b", "amman-c" })
            fleet.add(domain, {});
        fleet.publishBooking();
    }
};

}

BOOST_AUTO_TEST_SUITE(End_to_end)

BOOST_FIXTURE_TEST_CASE(A_call_that_enters_at_any_node_is_answered_by_a_backend_server, BookingFleet)
{
    for (std::size_t i = 0; i < fleet.instances().size(); ++i) {
        const std::string target = "/catalog?call=" + std::to_string(i);
        const auto answer = call(fleet.node(i).callers(), bookingRequest("GET", target));
        BOOST_TEST(answer.status == 200U, answer.body << answer.error);
        BOOST_TEST(answer.outcome() == "ran");
        BOOST_TEST(!answer.header("carobpath-request-id").empty());
        BOOST_TEST(nlohmann::json::parse(answer.body)["path"] == target);
        BOOST_TEST(fleet.runsOf(target) == 1U);
    }
}

BOOST_FIXTURE_TEST_CASE(A_node_whose_own_backend_server_is_gone_forwards_to_the_others, BookingFleet)
{
    fleet.backend(0).process().kill();
    eventually("calls through the first node are answered", [&] {
        return call(fleet.node(0).callers(), bookingRequest("GET", "/catalog")).status == 200;
    });
}

BOOST_FIXTURE_TEST_CASE(A_booking_runs_once_and_its_body_arrives_whole, BookingFleet)
{
    auto request = bookingRequest("POST", "/booking?call=1");
    request.body = std::string(200'000, 'x');
    const auto answer = call(fleet.node(1).callers(), request);
    BOOST_TEST(answer.status == 200U, answer.body << answer.error);
    BOOST_TEST((nlohmann::json::parse(answer.body)["body"] == request.body));
    BOOST_TEST(fleet.runsOf("call=1") == 1U);
}

BOOST_FIXTURE_TEST_CASE(A_large_download_arrives_whole, BookingFleet)
{
    const std::string target = "/reports/reflectivity?bytes=3000000";
    const auto through = call(fleet.node(2).callers(), bookingRequest("GET", target));
    const auto direct = call(fleet.backend(0).endpoint(), bookingRequest("GET", target));
    BOOST_TEST(through.status == 200U, through.error);
    BOOST_TEST((through.body == direct.body));
}

BOOST_FIXTURE_TEST_CASE(Hosts_paths_and_methods_that_no_route_takes_are_refused_as_not_run, BookingFleet)
{
    struct Row {
        std::string method;
        std::string host;
        std::string target;
    };
    const std::vector<Row> rows {
        { "GET", "unknown.example", "/catalog" },
        { "PUT", objects::bookingHost, "/catalog" },
        { "GET", "", "/catalog" },
    };
    for (const auto& row : rows) {
        CallerRequest request;
        request.method = row.method;
        request.host = row.host;
        request.target = row.target;
        const auto answer = call(fleet.node(0).callers(), request);
        BOOST_TEST(answer.status >= 400U, row.method << " " << row.host);
        BOOST_TEST(answer.outcome() == "not-run", row.method << " " << row.host);
        BOOST_TEST(!answer.reason().empty());
    }
    BOOST_TEST(fleet.runsOf("/catalog") == 0U);
}

BOOST_FIXTURE_TEST_CASE(The_admin_address_tells_liveness_readiness_metrics_and_objects, BookingFleet)
{
    BOOST_TEST(fleet.node(0).admin("/live").status == 200U);
    BOOST_TEST(fleet.node(0).admin("/ready").status == 200U);
    BOOST_TEST(fleet.node(0).admin("/metrics").body.find("# TYPE") != std::string::npos);
    BOOST_TEST(fleet.node(0).adminJson("/v1/objects").dump().find("booking-2") != std::string::npos);
    BOOST_TEST(fleet.node(0).admin("/v1/moves/unknown").status == 404U);
}

BOOST_AUTO_TEST_CASE(Records_that_do_not_pass_the_checks_are_rejected_everywhere_and_change_nothing)
{
    Fleet fleet({ "petra", "akwapim" });
    fleet.add("amman-a", {});
    fleet.add("amman-b", {});
    fleet.publishBooking();
    const auto before = fleet.node(0).admin("/v1/objects").body;
    auto petra = fleet.publisherOf("petra");
    auto akwapim = fleet.publisherOf("akwapim");
    const std::vector<std::uint64_t> offsets {
        akwapim.publish(objects::bookingVersion("booking-1")),
        petra.publish("versions:\n  - {name: v, service: unknown}\n"),
    };
    std::uint64_t noRecord = 0;
    petra.append("no record", &noRecord);
    for (std::size_t i = 0; i < 2; ++i) {
        for (const auto offset : { offsets[0], offsets[1], noRecord })
            fleet.node(i).process().waitForEvent("record-rejected", [&](const auto& it) { return it["offset"] == offset; });
        BOOST_TEST(fleet.node(i).admin("/v1/objects").body == before);
    }
}

BOOST_AUTO_TEST_SUITE_END()
