#include "carobpath/routing/RetryBudget.h"

#include <boost/test/unit_test.hpp>

#include <array>

namespace carobpath::routing {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RetryAllowances)

BOOST_AUTO_TEST_CASE(All_nodes_together_stay_within_the_bound_of_the_fleet_in_any_window)
{
    const FleetRetryBound bound { 0.2, 64, 10s };
    for (const std::size_t nodes : { 1, 2, 14, 64 }) {
        const auto allowance = allowanceOf(bound, nodes);
        const double withoutCalls = static_cast<double>(nodes) * (allowance.capacity + 10 * allowance.perSecond);
        BOOST_TEST(withoutCalls <= bound.slack + 10 * bound.slack * 0.2);
        BOOST_TEST(allowance.perCall <= bound.partOfCalls / 2);
    }
}

BOOST_AUTO_TEST_CASE(A_node_of_a_large_fleet_can_still_retry_one_call)
{
    BOOST_TEST(allowanceOf({ 0.2, 64, 10s }, 1000).capacity >= 1);
}

BOOST_AUTO_TEST_CASE(A_smaller_allowance_removes_saved_retries_beyond_its_capacity)
{
    RetryBudget budget { RetryAllowance { 0, 0, 10 } };
    budget.setAllowance(RetryAllowance { 0, 0, 1 });
    const MonotonicTime now { 1s };
    BOOST_TEST(budget.tryWithdraw(now));
    BOOST_TEST(!budget.tryWithdraw(now));
}

BOOST_AUTO_TEST_SUITE_END()

}
