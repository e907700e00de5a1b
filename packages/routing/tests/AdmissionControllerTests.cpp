#include "AdmissionFixture.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::routing::tests {

BOOST_AUTO_TEST_SUITE(Admission)

BOOST_AUTO_TEST_CASE(A_call_is_dispatched_at_once_while_slots_are_free)
{
    AdmissionFixture fixture;
    const auto request = fixture.request();
    BOOST_TEST(isDispatched(fixture.arrive(request), request.id));
    BOOST_TEST(fixture.controller.inFlight() == 1U);
    fixture.finish(request.id);
    BOOST_TEST(fixture.controller.inFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(A_request_for_a_version_that_is_not_announced_is_refused_as_not_run)
{
    AdmissionFixture fixture;
    auto request = fixture.request();
    request.version = VersionName { "v2" };
    const auto refusal = refusalOf(fixture.arrive(request), request.id);
    BOOST_REQUIRE(refusal);
    BOOST_TEST((refusal->outcome == Outcome::NotRun));
    BOOST_TEST((refusal->reason == RefusalReason::NoUpstream));
}

BOOST_AUTO_TEST_SUITE_END()

}
