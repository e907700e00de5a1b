#include "carobpath/routing/Outcome.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing {

BOOST_AUTO_TEST_SUITE(Outcomes)

BOOST_AUTO_TEST_CASE(Every_outcome_is_preserved_by_conversion_to_text_and_back)
{
    for (const auto it : { Outcome::Ran, Outcome::NotRun, Outcome::Unknown })
        BOOST_TEST((outcomeFromString(toString(it)) == it));
    BOOST_TEST(!outcomeFromString("maybe"));
}

BOOST_AUTO_TEST_CASE(Every_refusal_reason_has_a_text_of_its_own_and_an_error_status)
{
    constexpr int reasons = static_cast<int>(RefusalReason::Cancelled) + 1;
    for (int i = 0; i < reasons; ++i) {
        const auto reason = static_cast<RefusalReason>(i);
        BOOST_TEST((refusalReasonFromString(toString(reason)) == reason));
        BOOST_TEST(httpStatus(reason) >= 400U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
