#include "Platform.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::client {

using platform::FakeAnswer;
using LogFault = publication::FakeLog::Fault;
using namespace publication::samples;

namespace {

    const std::string goodObjects = "versions: [{name: booking-1, service: booking}]\nservices: [{name: booking, initial-version: booking-1, hosts: [booking]}]\n";
    const std::string newRoute = "routes:\n  - name: new\n    service: booking\n    path-prefix: /new\n";

    struct Published : Platform {
        Published() { BOOST_REQUIRE((run({ "publish", write("good.yaml", goodObjects) }).code == ExitCode::Ok)); }
    };

}

BOOST_AUTO_TEST_SUITE(PublishCommand)

BOOST_AUTO_TEST_CASE(Each_course_of_a_publication_has_its_result_and_exit_code)
{
    const std::deque<LogFault> always(1000, LogFault::Down);
    auto laterAlways = always;
    laterAlways.push_front(LogFault::None);
    struct Row {
        const char* name;
        std::deque<LogFault> appends;
        std::deque<LogFault> reads;
        const char* timeout;
        ExitCode code;
        const char* result;
    };
    const std::vector<Row> rows {
        { "no fault", {}, {}, "60s", ExitCode::Ok, "published" },
        { "answer lost after the write", { LogFault::AnswerLost }, {}, "60s", ExitCode::Ok, "published" },
        { "down for good", always, always, "300ms", ExitCode::Unavailable, "unavailable" },
        { "answer lost, then down for good", { LogFault::AnswerLost }, laterAlways, "2s", ExitCode::Unknown, "unknown" },
        { "refused", { LogFault::Refused }, {}, "60s", ExitCode::Unavailable, "unavailable" },
    };
    for (const auto& row : rows) {
        Published platform;
        platform.log.appendFaults = row.appends;
        platform.log.readFaults = row.reads;
        const auto run = platform.run({ "publish", "--timeout", row.timeout, platform.write("route.yaml", newRoute) });
        BOOST_TEST((run.code == row.code), row.name << ": " << run.out);
        BOOST_TEST(run.json().value("result", "") == row.result, row.name);
    }
}

BOOST_AUTO_TEST_CASE(A_second_run_with_the_printed_id_is_safe)
{
    Published platform;
    const auto file = platform.write("route.yaml", newRoute);
    platform.log.appendFaults = { LogFault::AnswerLost };
    platform.log.readFaults.assign(1000, LogFault::Down);
    platform.log.readFaults.front() = LogFault::None;
    const auto first = platform.run({ "publish", "--timeout", "2s", file });
    BOOST_REQUIRE((first.code == ExitCode::Unknown));
    platform.log.readFaults.clear();
    const auto records = platform.log.next();
    const auto second = platform.run({ "publish", file, "--id", first.json()["id"] });
    BOOST_TEST((second.code == ExitCode::Ok));
    BOOST_TEST(platform.log.next() == records);
}

BOOST_AUTO_TEST_CASE(The_loser_of_a_race_is_told_the_place_in_its_file)
{
    Published platform;
    platform.log.beforeAppend = [&] {
        platform.log.take(encodeRecord(publishRecord(50, 1, { publication::PutRoute { route("new", "booking", "/rival") } })));
    };
    const auto run = platform.run({ "publish", platform.write("route.yaml", newRoute) });
    BOOST_TEST((run.code == ExitCode::Rejected));
    const auto fault = run.json()["faults"].at(0);
    BOOST_TEST(fault.value("kind", "") == "stale-base");
    BOOST_TEST(fault.value("line", 0) == 2);
}

BOOST_AUTO_TEST_CASE(Wrong_input_publishes_nothing)
{
    Published platform;
    const auto records = platform.log.next();
    const std::vector<std::vector<std::string>> rows {
        { "publish" },
        { "publish", "/nowhere.yaml" },
        { "publish", platform.write("unknown.yaml", "services: [{name: a, colour: red}]") },
        { "publish", platform.write("dangling.yaml", "routes: [{name: r, service: nowhere, path-prefix: /}]") },
        { "publish", platform.write("foreign.yaml", "versions: [{name: v, service: booking, member: akwapim}]") },
        { "publish", "--delete", "route" },
        { "publish", "--delete", "service/booking" },
        { "publish", platform.write("good.yaml", newRoute), "--id", "no-id" },
    };
    for (const auto& row : rows)
        BOOST_TEST((platform.run(row).code == ExitCode::WrongInput), row.back());
    BOOST_TEST(platform.log.next() == records);
}

BOOST_AUTO_TEST_CASE(Waiting_ends_when_every_node_has_it_in_force_or_in_time)
{
    Published platform;
    const auto status = [](int offset) { return FakeAnswer { FakeAnswer::Kind::Send, 200, nlohmann::json { { "node", "n" }, { "configuration", { { "offset", offset } } } }.dump() }; };
    platform.nodeAnswers["/v1/status"] = { status(0), { FakeAnswer::Kind::Send, 503, "{}" }, status(1) };
    const auto run = platform.run({ "publish", "--wait", platform.write("route.yaml", newRoute) });
    BOOST_TEST((run.code == ExitCode::Ok), run.out);
    BOOST_TEST(run.json().value("inForce", false));

    platform.nodeAnswers["/v1/status"] = { status(1) };
    const auto late = platform.run({ "publish", "--wait", "--timeout", "300ms", "--delete", "route/new" });
    BOOST_TEST((late.code == ExitCode::Timeout), late.out);
    BOOST_TEST(late.json().value("result", "") == "published");
}

BOOST_AUTO_TEST_SUITE_END()

}
