#include "carobpath/routing/ReportedState.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

using namespace std::chrono_literals;

namespace {

    struct ReportFixture {
        ReportedState state;
        membership::BackendRun run { "i-1", WallTime { 5000ms } };
        MonotonicTime now { 1000s };

        ReportFixture() { state.setRun(run); }

        bool report(const BackendReport& it, ReportSource source = ReportSource::Run)
        {
            now += 1s;
            return state.onReport(run, it, source, now - 100ms, now);
        }
    };

    BackendReport limited(double callsPerSecond) { return { callsPerSecond, false, false }; }

}

BOOST_FIXTURE_TEST_SUITE(Reports_of_a_backend_server, ReportFixture)

BOOST_AUTO_TEST_CASE(The_limit_that_was_named_last_holds)
{
    BOOST_TEST(report(limited(8)));
    BOOST_TEST(report(limited(2.5)));
    BOOST_TEST(!report(limited(2.5)));
    BOOST_TEST(state.callsPerSecond().value() == 2.5);
}

BOOST_AUTO_TEST_CASE(A_limit_of_nought_is_a_limit)
{
    report(limited(0));
    BOOST_TEST(state.callsPerSecond().value() == 0);
}

BOOST_AUTO_TEST_CASE(A_limit_that_is_not_named_any_more_is_lifted)
{
    report(limited(8));
    BOOST_TEST(report({}));
    BOOST_TEST(!state.callsPerSecond());
}

BOOST_AUTO_TEST_CASE(An_answer_to_a_call_that_was_sent_before_the_limit_was_named_does_not_lift_it)
{
    report(limited(8));
    BOOST_TEST(!state.onReport(run, {}, ReportSource::Run, now - 1ms, now + 1s));
    BOOST_TEST(state.callsPerSecond().has_value());
}

BOOST_AUTO_TEST_CASE(A_refusal_without_a_limit_does_not_lift_it)
{
    report(limited(8));
    BOOST_TEST(!report({}, ReportSource::Refusal));
    BOOST_TEST(state.callsPerSecond().has_value());
}

BOOST_AUTO_TEST_CASE(A_refusal_that_names_a_limit_sets_it)
{
    BOOST_TEST(report(limited(8), ReportSource::Refusal));
    BOOST_TEST(state.callsPerSecond().value() == 8);
}

BOOST_AUTO_TEST_CASE(An_unreadable_limit_leaves_the_one_before_in_force)
{
    report(limited(8));
    BOOST_TEST(!report({ std::nullopt, true, false }));
    BOOST_TEST(state.callsPerSecond().value() == 8);
}

BOOST_AUTO_TEST_CASE(A_server_that_leaves_stays_so_for_its_run)
{
    BOOST_TEST(report({ std::nullopt, false, true }));
    BOOST_TEST(!report({}));
    BOOST_TEST(state.isLeaving());
}

BOOST_AUTO_TEST_CASE(A_new_run_of_the_same_name_has_reported_nothing)
{
    report({ 8, false, true });
    run.startedAt = WallTime { 9000ms };
    state.setRun(run);
    BOOST_TEST(!state.isLeaving());
    BOOST_TEST(!state.callsPerSecond());
}

BOOST_AUTO_TEST_CASE(The_same_run_that_is_announced_again_keeps_what_it_reported)
{
    report(limited(8));
    state.setRun(run);
    BOOST_TEST(state.callsPerSecond().has_value());
}

BOOST_AUTO_TEST_CASE(A_late_answer_of_the_run_before_tells_nothing_of_this_one)
{
    const auto before = run;
    run.startedAt = WallTime { 9000ms };
    state.setRun(run);
    BOOST_TEST(!state.onReport(before, { 8, false, true }, ReportSource::Run, now, now));
    BOOST_TEST(!state.isLeaving());
}

BOOST_AUTO_TEST_SUITE_END()

}
