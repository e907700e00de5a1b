#include "carobpath/membership/DirectorySchedule.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::membership {

using namespace std::chrono_literals;

namespace {

    const MonotonicTime start { 1000s };

    DirectorySchedule makePlan() { return DirectorySchedule { std::mt19937_64 { 3 }, start }; }

}

BOOST_AUTO_TEST_SUITE(DirectorySchedules)

BOOST_AUTO_TEST_CASE(A_node_registers_before_it_lists)
{
    auto plan = makePlan();
    BOOST_CHECK(plan.next(start) == DirectoryStep::Register);
    BOOST_CHECK(plan.next(start) == DirectoryStep::Nothing);
    plan.onRegistered(start);
    BOOST_CHECK(plan.next(start) == DirectoryStep::List);
}

BOOST_AUTO_TEST_CASE(A_step_that_failed_is_tried_again_within_seconds)
{
    auto plan = makePlan();
    for (int i = 0; i < 20; ++i) {
        auto now = start + i * 10s;
        BOOST_CHECK(plan.next(now) == DirectoryStep::Register);
        plan.onFailed(now);
    }
    BOOST_CHECK(plan.next(start + 190s + DirectorySchedule::s_longestRetry) == DirectoryStep::Register);
}

BOOST_AUTO_TEST_CASE(A_lone_node_lists_soon_again_and_a_settled_one_seldom)
{
    auto plan = makePlan();
    plan.next(start);
    plan.onRegistered(start);
    plan.next(start);
    plan.onListed(start);
    BOOST_CHECK(plan.next(start + DirectorySchedule::s_loneInterval) == DirectoryStep::List);
    plan.onLivePeersChanged(3, start + 1s);
    plan.onListed(start + 1s);
    BOOST_CHECK(plan.next(start + 3s) == DirectoryStep::Nothing);
    BOOST_CHECK(plan.next(start + 1s + DirectorySchedule::s_settledInterval) == DirectoryStep::List);
}

BOOST_AUTO_TEST_CASE(A_node_that_lost_all_others_lists_at_once)
{
    auto plan = makePlan();
    plan.next(start);
    plan.onRegistered(start);
    plan.next(start);
    plan.onLivePeersChanged(3, start);
    plan.onListed(start);
    plan.onLivePeersChanged(0, start + 2s);
    BOOST_CHECK(plan.next(start + 2s) == DirectoryStep::List);
}

BOOST_AUTO_TEST_SUITE_END()

}
