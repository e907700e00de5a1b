#include "FleetPair.h"
#include "Programs.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <future>
#include <thread>

using namespace carobpath::harness;
using namespace std::chrono_literals;

namespace {

/// A pair of nodes whose calls are explained by the real client from what the nodes wrote.
struct ExplainedPair : FleetPair {
    /// Waits until calls that enter at node a are served beside node b, the only one with a backend server.
    void serveAtB()
    {
        serve();
        b.announce("i-b", "ready", 1);
        eventually("a call is served", [&] { return call(a.outbound(), fleetRequest("/shop/1", "c-" + std::to_string(std::rand()))).status == 200; });
    }

    /// Node b may log its part of a call after the caller has its answer.
    void awaitAtB(const std::string& event, const std::string& id)
    {
        b.process().waitForEvent(event, [&](const EventLine& it) { return it.value("request", "") == id; });
    }

    /// \returns what the client says of the call, once its end is logged.
    std::string explain(const std::string& id, const std::vector<std::string>& options = {})
    {
        a.process().waitForEvent("call-ended", [&](const EventLine& it) { return it.value("request", "") == id; });
        std::vector<std::string> arguments { options };
        arguments.insert(arguments.end(), { "explain", id, directory.write("node-a.log", a.process().output()), directory.write("node-b.log", b.process().output()) });
        Process client { programs::carobpath, arguments, (directory.path() / "explain.err").string() };
        BOOST_TEST(client.waitForExit() == 0);
        auto text = client.output();
        BOOST_TEST_MESSAGE(text);
        return text;
    }
};

/// \returns the calls that the backend server works on.
int callsAt(const BackendStandin& backend)
{
    CallerRequest request;
    request.target = "/load";
    return nlohmann::json::parse(call(backend.endpoint(), request).body).value("inFlight", 0);
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

}

BOOST_FIXTURE_TEST_SUITE(Explained_calls, ExplainedPair)

BOOST_AUTO_TEST_CASE(A_refusal_is_followed_from_its_id_to_the_queue_that_was_too_long)
{
    serveAtB();
    backendB.set(R"({"workMs": 1200})");
    constexpr int busyCalls = 24;
    std::vector<std::future<CallerAnswer>> busy;
    busy.reserve(busyCalls);
    for (int i = 0; i < busyCalls; ++i)
        busy.push_back(std::async(std::launch::async, [&, i] { return call(a.outbound(), fleetRequest("/shop/orders/1", "busy-" + std::to_string(i), "POST")); }));
    std::this_thread::sleep_for(300ms);
    auto refused = fleetRequest("/shop/orders/2", "c-refused", "POST");
    refused.headers["Carobpath-Deadline-Remaining-Ms"] = "400";
    BOOST_TEST(call(a.outbound(), refused).status == 503U);

    awaitAtB("admission-refused", "c-refused");
    const auto text = explain("c-refused");
    BOOST_TEST(contains(text, "c-refused: refused (overloaded)"), text);
    BOOST_TEST(contains(text, "Attempt 1 at node-b"), text);
    BOOST_TEST(contains(text, "admission-refused"), text);
    BOOST_TEST(contains(text, "deadlineLeftMs="), text);
    BOOST_TEST(contains(text, "serviceMs="), text);
}

BOOST_AUTO_TEST_CASE(An_unknown_outcome_is_followed_from_its_id_to_the_backend_server_that_ended)
{
    serveAtB();
    backendB.set(R"({"workMs": 1500})");
    auto answer = std::async(std::launch::async, [&] { return call(a.outbound(), fleetRequest("/shop/orders/1", "c-unknown", "POST")); });
    eventually("the backend server works on the call", [&] { return callsAt(backendB) > 0; });
    backendB.process().kill();
    BOOST_TEST(answer.get().status == 502U);

    awaitAtB("backend-ended", "c-unknown");
    b.process().waitForEvent("backend-crashed");
    const auto text = explain("c-unknown");
    BOOST_TEST(contains(text, "c-unknown: unknown (upstream-connection-lost)"), text);
    BOOST_TEST(contains(text, "its backend server: connection-lost"), text);
    BOOST_TEST(contains(text, "backend-crashed"), text);
}

BOOST_AUTO_TEST_CASE(A_late_answer_is_followed_from_its_id_to_where_the_time_went)
{
    serveAtB();
    backendB.set(R"({"workMs": 900})");
    BOOST_TEST(call(a.outbound(), fleetRequest("/shop/orders/1", "c-late", "POST")).status == 200U);

    awaitAtB("backend-ended", "c-late");
    const auto text = explain("c-late");
    BOOST_TEST(contains(text, "c-late: late"), text);
    BOOST_TEST(contains(text, "longer than the objective of 500.0 ms"), text);
    BOOST_TEST(contains(text, "Next: Look at the backend server"), text);
    const auto json = nlohmann::json::parse(explain("c-late", { "--output", "json" }));
    BOOST_TEST(json["result"] == "late");
    BOOST_TEST(json["complete"] == true);
}

BOOST_AUTO_TEST_CASE(A_request_that_can_not_be_read_leaves_a_line_too)
{
    serveAtB();
    auto large = fleetRequest("/shop/1", "c-large");
    for (const auto* name : { "Large-1", "Large-2" })
        large.headers[name] = std::string(40UL * 1024, 'x');
    BOOST_TEST(call(a.outbound(), large).status == 431U);
    a.process().waitForEvent("call-ended", [](const EventLine& it) { return it.value("reason", "") == "header-too-large"; });
    auto nameless = fleetRequest("/shop/1", "");
    nameless.headers.erase("Carobpath-Attempt-Id");
    BOOST_TEST(call(a.outbound(), nameless).status == 400U);
    a.process().waitForEvent("call-ended", [](const EventLine& it) { return it.value("reason", "") == "malformed-request"; });
}

BOOST_AUTO_TEST_SUITE_END()
