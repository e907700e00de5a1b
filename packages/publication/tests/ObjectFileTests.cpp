#include "Samples.h"
#include "carobpath/publication/Bounds.h"
#include "carobpath/publication/ObjectFile.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::publication {

using namespace samples;
using namespace std::chrono_literals;

namespace {

    const ObjectFileOptions options { petra, WallTime { 1000s } };

    const std::string goodFile = R"(services:
  - name: booking
    initial-version: booking-1
    hosts: [booking.petra.example, booking]
versions:
  - name: booking-1
    service: booking
  - {name: booking-2, service: booking}
---
kind: route
name: booking-create
service: booking
path-prefix: /orders
methods: [POST]
repeatability: not-repeatable
timeout: 250ms
---
moves:
  - name: to-2
    service: booking
    to: booking-2
    start-at: 1970-01-01T00:20:00.250Z
    deadline: +1h
    on-thin-evidence: finish
)";

    std::vector<std::string> faultsOf(const std::string& yaml)
    {
        const auto file = readObjects(yaml, "f.yaml", options);
        auto faults = file.faults;
        const auto checked = checkObjects(file.objects, {}, {}, petra);
        if (faults.empty())
            faults = checked;
        std::vector<std::string> texts;
        for (const auto& it : faults)
            texts.push_back(std::to_string(it.mark.line) + ":" + std::to_string(it.mark.column) + " " + std::string { kindText(it) });
        return texts;
    }

}

BOOST_AUTO_TEST_SUITE(ObjectFiles)

BOOST_AUTO_TEST_CASE(Lists_and_single_documents_give_the_same_objects)
{
    const auto file = readObjects(goodFile, "f.yaml", options);
    BOOST_REQUIRE(file.faults.empty());
    BOOST_REQUIRE(file.objects.size() == 5U);
    const auto& service = std::get<PutService>(file.objects[0].change).service;
    BOOST_TEST((service.member == petra));
    BOOST_TEST(service.hosts.size() == 2U);
    const auto& route = std::get<PutRoute>(file.objects[3].change).route;
    BOOST_TEST((route.timeout == 250ms));
    const auto& move = std::get<PutMove>(file.objects[4].change).move;
    BOOST_TEST((move.startAt == WallTime { 1200s + 250ms }));
    BOOST_TEST((move.deadline == WallTime { 1000s + 1h }));
    BOOST_TEST((move.onThinEvidence == ThinEvidencePolicy::Finish));
    BOOST_TEST(checkObjects(file.objects, {}, {}, petra).empty());
}

BOOST_AUTO_TEST_CASE(Every_fault_of_a_file_is_reported_at_its_line_and_column)
{
    struct Row {
        std::string yaml;
        std::vector<std::string> faults;
    };
    const std::vector<Row> rows {
        { "", { "0:0 empty-record" } },
        { "services: [", { "1:1 syntax" } },
        { "services:\n  - name: a\n bad", { "3:2 syntax" } },
        { "- a", { "1:1 wrong-type" } },
        { "service:\n  - name: a", { "1:1 unknown-key" } },
        { "routes: 5", { "1:9 wrong-type" } },
        { "versions:\n  - 5\n  - name: a\n    servise: b", { "2:5 wrong-type", "3:5 missing-key", "4:5 unknown-key" } },
        { "kind: thing\nname: a", { "1:7 bad-choice" } },
        { "versions:\n  - name: a\n    name: b\n    service: [c]", { "3:5 duplicate-key", "4:14 wrong-type" } },
        { "routes:\n  - name: r\n    service: s\n    path-prefix: /\n    timeout: 5 parsecs\n    repeatability: maybe", { "6:20 bad-choice", "5:14 bad-duration" } },
        { "moves:\n  - {name: m, service: s, to: v, deadline: tomorrow}", { "2:44 bad-time" } },
        { "moves:\n  - {name: m, service: s, to: v, deadline: 2026-02-30T00:00:00Z}", { "2:44 bad-time" } },
        { "routes:\n  - name: r\n    service: nowhere\n    path-prefix: no", { "3:14 dangling-reference", "4:18 bad-path-prefix" } },
        { "services:\n  - name: s\n    initial-version: v\n    hosts: [ok, NOT]\nversions: [{name: v, service: s}]", { "4:17 bad-host" } },
        { "versions:\n  - {name: v, service: s}\n  - {name: v, service: s}\nservices: [{name: s, initial-version: v}]", { "3:12 duplicate-name" } },
        { "versions:\n  - {name: v, service: s, member: akwapim}\nservices: [{name: s, initial-version: v}]", { "2:35 foreign-object" } },
    };
    for (const auto& row : rows)
        BOOST_TEST(faultsOf(row.yaml) == row.faults, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(A_file_that_cannot_be_read_is_reported_as_a_fault)
{
    const auto file = readObjectFile("/nowhere/f.yaml", options);
    BOOST_REQUIRE(file.faults.size() == 1U);
    BOOST_TEST(describe(file.faults.front()) == "/nowhere/f.yaml: unreadable-file: can't be opened");
}

BOOST_AUTO_TEST_CASE(The_number_of_faults_reported_for_a_malicious_file_is_limited)
{
    std::string yaml = "services:\n";
    for (int i = 0; i < 5000; ++i)
        yaml += "- 5\n";
    BOOST_TEST(readObjects(yaml, "f.yaml", options).faults.size() == bounds::reportedFaults);
    BOOST_TEST(faultsOf("services: " + std::string(200000, '[')).size() == 1U);
}

BOOST_AUTO_TEST_CASE(A_fault_is_described_in_one_line_with_its_position)
{
    const auto file = readObjects("routes:\n  - {name: r, service: s, path-prefix: /}", "f.yaml", options);
    const auto faults = checkObjects(file.objects, {}, {}, petra);
    BOOST_REQUIRE(faults.size() == 1U);
    BOOST_TEST(describe(faults.front()) == "f.yaml:2:24: dangling-reference: route/r refers to an object that is not there (service): service/s");
}

BOOST_AUTO_TEST_SUITE_END()

}
