#include "CallHistory.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

namespace {

    bool callsAreSafe(const char* name, const InjectedDefects& defects, bool printFailure)
    {
        HistoryParameters parameters;
        parameters.seed = 20261205;
        parameters.histories = 4000;
        parameters.actions = CallHistory::Actions;
        parameters.maxSteps = 250;
        return holdsForAll(name, parameters, printFailure, [&](const Steps& steps) {
            CallHistory history { defects };
            return history.run(steps);
        });
    }

}

BOOST_AUTO_TEST_SUITE(CallHistories)

BOOST_AUTO_TEST_CASE(A_booking_runs_at_most_once_and_a_call_reported_as_not_run_did_not_run)
{
    BOOST_TEST(callsAreSafe("calls through kills, cuts, copies and freezes", {}, true));
}

BOOST_AUTO_TEST_CASE(The_same_histories_detect_each_injected_defect)
{
    InjectedDefects lost;
    lost.treatLostAsNotRun = true;
    BOOST_TEST(!callsAreSafe("a lost connection taken as not run", lost, false));
    InjectedDefects copies;
    copies.giveCopiesNewIds = true;
    BOOST_TEST(!callsAreSafe("copies of a request not recognized", copies, false));
    InjectedDefects repeated;
    repeated.repeatBookings = true;
    BOOST_TEST(!callsAreSafe("bookings sent again like reads", repeated, false));
}

BOOST_AUTO_TEST_CASE(The_histories_answer_calls_and_refuse_others)
{
    std::mt19937_64 random { 20261206 };
    std::size_t answered = 0;
    std::size_t notRun = 0;
    for (int i = 0; i < 200; ++i) {
        Steps steps;
        for (int n = 0; n < 200; ++n)
            steps.push_back({ static_cast<std::uint32_t>(random() % CallHistory::Actions),
                static_cast<std::uint32_t>(random() % 1000) });
        CallHistory history;
        BOOST_REQUIRE(history.run(steps));
        answered += history.answeredCalls();
        notRun += history.notRunCalls();
    }
    BOOST_TEST(answered > 200U);
    BOOST_TEST(notRun > 200U);
}

BOOST_AUTO_TEST_SUITE_END()

}
