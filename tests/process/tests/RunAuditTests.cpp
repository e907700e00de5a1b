#include "RunAudit.h"

#include <boost/test/unit_test.hpp>

using namespace carobpath::harness;

namespace {

EventLine call(const std::string& method, const std::string& outcome, bool isOwnAnswer = true)
{
    return { { "event", "call" }, { "method", method }, { "path", "/p?call=1" }, { "status", 200 }, { "outcome", outcome }, { "isOwnAnswer", isOwnAnswer } };
}

EventLine run(const std::string& method)
{
    return { { "event", "executed" }, { "method", method }, { "path", "/p?call=1" } };
}

}

BOOST_AUTO_TEST_SUITE(Run_audit)

BOOST_AUTO_TEST_CASE(Each_broken_promise_is_found_and_no_other)
{
    struct Row {
        std::string what;
        std::vector<EventLine> calls;
        std::vector<EventLine> runs;
        std::uint64_t RunAudit::*counter;
        std::uint64_t expected;
    };
    const std::vector<Row> rows {
        { "a booking that ran twice", { call("POST", "ran") }, { run("POST"), run("POST") }, &RunAudit::repeatedRuns, 1 },
        { "a read that ran twice", { call("GET", "ran") }, { run("GET"), run("GET") }, &RunAudit::repeatedRuns, 0 },
        { "an unknown booking that ran twice", { call("POST", "unknown") }, { run("POST"), run("POST") }, &RunAudit::repeatedRuns, 1 },
        { "a refusal that ran", { call("POST", "not-run") }, { run("POST") }, &RunAudit::falseRefusals, 1 },
        { "a refusal that did not run", { call("POST", "not-run") }, {}, &RunAudit::falseRefusals, 0 },
        { "an answer without a run", { call("GET", "ran") }, {}, &RunAudit::falseRuns, 1 },
        { "an answer of another call", { call("GET", "ran", false) }, { run("GET") }, &RunAudit::wrongAnswers, 1 },
        { "an unknown call", { call("POST", "unknown") }, {}, &RunAudit::unknown, 1 },
    };
    for (const auto& row : rows) {
        const auto audit = auditRuns(row.calls, row.runs);
        const std::uint64_t counted = audit.*(row.counter);
        BOOST_TEST(counted == row.expected, row.what);
        const bool isBroken = row.expected > 0 && row.counter != &RunAudit::unknown;
        BOOST_TEST(audit.isClean() != isBroken, row.what);
    }
}

BOOST_AUTO_TEST_SUITE_END()
