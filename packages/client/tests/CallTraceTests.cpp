#include "LogLines.h"
#include "carobpath/client/CallTrace.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::client {

using namespace std::chrono_literals;

namespace {

    LogLines servedCall()
    {
        LogLines log;
        log.add(0, "a", "ready", {})
            .add(10, "b", "upstream-announced", { { "service", "booking" }, { "state", "ready" } })
            .add(1040, "b", "backend-ended", { { "request", "c-1" }, { "result", "answered" }, { "tookMs", 20.5 } })
            .add(1050, "a", "attempt-ended", { { "request", "c-1" }, { "attempt", 1U }, { "node", "b" }, { "outcome", "ran" }, { "tookMs", 45 } })
            .add(1051, "a", "call-ended", { { "request", "c-1" }, { "status", 200U }, { "outcome", "ran" }, { "attempts", 1U }, { "tookMs", 50 } })
            .add(1060, "a", "call-ended", { { "request", "c-10" }, { "status", 200U }, { "outcome", "ran" }, { "attempts", 1U }, { "tookMs", 5 } });
        return log;
    }

    CallTrace traceIn(const LogLines& log, const std::string& request)
    {
        return traceOf(RequestId { request }, log.events());
    }

}

BOOST_AUTO_TEST_SUITE(Call_traces)

BOOST_AUTO_TEST_CASE(A_trace_holds_the_lines_of_one_call_from_all_processes_in_causal_order)
{
    const auto trace = traceIn(servedCall(), "c-1");
    BOOST_REQUIRE(trace.lines.size() == 3U);
    BOOST_TEST(trace.lines[0].process == "node/b");
    BOOST_TEST(trace.lines[2].process == "node/a");
    BOOST_REQUIRE(trace.end);
    BOOST_TEST(trace.end->status == 200U);
    BOOST_TEST((trace.end->took == 50ms));
    BOOST_REQUIRE(trace.attempts.size() == 1U);
    BOOST_TEST(trace.attempts[0].node == "b");
    BOOST_REQUIRE(trace.backends.size() == 1U);
    BOOST_TEST(trace.isComplete());
}

BOOST_AUTO_TEST_CASE(What_the_processes_on_the_path_believed_is_told_with_its_age)
{
    auto log = servedCall();
    log.add(900, "a", "log-unavailable", {}).add(500, "c", "draining", {}).add(2000, "b", "upstream-gone", {});
    const auto trace = traceIn(log, "c-1");
    BOOST_REQUIRE(trace.beliefs.size() == 3U);
    // By process, then by subject: node a lost the log 151 ms before the call's end; what came later or elsewhere says nothing.
    BOOST_TEST((trace.beliefs[0].age == 151ms));
    BOOST_TEST((trace.beliefs[1].age == 1051ms));
    BOOST_TEST(trace.beliefs[2].event.process == "node/b");
    BOOST_TEST((trace.beliefs[2].age == 1041ms));
}

BOOST_AUTO_TEST_CASE(Lines_that_a_process_on_the_path_left_out_meanwhile_make_the_trace_incomplete)
{
    auto log = servedCall();
    log.add(1070, "a", "attempt-ended", { { "request", "c-11" }, { "leftOut", 3U } });
    const auto trace = traceIn(log, "c-1");
    BOOST_TEST(!trace.isComplete());
    BOOST_REQUIRE(trace.leftOut.size() == 1U);
    BOOST_TEST(trace.leftOut[0].process == "node/a");
    BOOST_TEST(trace.leftOut[0].event == "attempt-ended");
    BOOST_TEST(trace.leftOut[0].count == 3U);
}

BOOST_AUTO_TEST_CASE(Lines_left_out_before_the_call_or_elsewhere_leave_the_trace_complete)
{
    auto log = servedCall();
    log.add(500, "a", "call-ended", { { "request", "c-0" }, { "leftOut", 7U } });
    log.add(1070, "c", "attempt-ended", { { "request", "c-11" }, { "leftOut", 3U } });
    BOOST_TEST(traceIn(log, "c-1").isComplete());
}

BOOST_AUTO_TEST_CASE(A_call_without_a_line_may_be_among_all_that_were_left_out)
{
    auto log = servedCall();
    log.add(1070, "c", "attempt-ended", { { "request", "c-11" }, { "leftOut", 3U } });
    const auto trace = traceIn(log, "c-99");
    BOOST_TEST(trace.lines.empty());
    BOOST_TEST(trace.leftOut.size() == 1U);
    BOOST_TEST(!trace.isComplete());
}

BOOST_AUTO_TEST_CASE(An_id_in_another_field_is_no_line_of_the_call)
{
    LogLines log;
    log.add(0, "a", "call-ended", { { "request", "c-2" }, { "route", "c-1" } });
    BOOST_TEST(traceIn(log, "c-1").lines.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}
