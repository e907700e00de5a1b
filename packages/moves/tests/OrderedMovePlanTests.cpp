#include "carobpath/moves/OrderedMovePlan.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::moves {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(OrderedMovePlans)

BOOST_AUTO_TEST_CASE(The_sum_of_all_calls_to_the_deadline_stays_within_the_bound)
{
    const ExposureBound bound { 0.1, 50 };
    for (const auto duration : { 10s, 12s, 14s, 16s }) {
        for (const double rate : { 5.0, 20.0, 48.0, 96.0, 137.0, 551.0, 2000.0 }) {
            const OrderedMovePlan plan { duration, bound };
            const double canary = std::chrono::duration<double>(plan.fullAt()).count();
            const double deadline = std::chrono::duration<double>(plan.deadline()).count();
            const double loadTest = std::chrono::duration<double>(plan.loadTestEnd() - plan.loadTestStart()).count();
            const double shareSeconds = plan.canaryShare(rate) * (canary - loadTest) + plan.loadTestShare(rate) * loadTest;
            const double exposed = rate * (shareSeconds + (deadline - canary));
            BOOST_TEST(exposed <= bound.part * rate * deadline + bound.slack);
        }
    }
}

BOOST_AUTO_TEST_CASE(The_verdict_is_written_before_the_deadline_and_after_a_phase_under_full_load)
{
    const OrderedMovePlan plan { 16s, {} };
    BOOST_TEST((plan.fullAt() < plan.verdictAt()));
    BOOST_TEST((plan.verdictAt() < plan.deadline()));
    BOOST_TEST((plan.deadline() - plan.verdictAt() >= 200ms));
}

BOOST_AUTO_TEST_SUITE_END()

}
