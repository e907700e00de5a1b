#include "carobpath/moves/VersionComparison.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::moves {

namespace {

    EvidenceGrowth growth(const char* observer, std::uint64_t succeeded, std::uint64_t failed, std::size_t latencyClass = 7, const char* route = "r")
    {
        EvidenceGrowth it;
        it.route = RouteName { route };
        it.observer = NodeName { observer };
        it.counts.succeeded = succeeded;
        it.counts.failed = failed;
        it.counts.latency.at(latencyClass) = succeeded;
        return it;
    }

    publication::MoveReason reasonOf(const VersionComparison& comparison)
    {
        const auto finding = comparison.finding();
        return finding ? finding->reason : publication::MoveReason::None;
    }

}

BOOST_AUTO_TEST_SUITE(VersionComparisons)

BOOST_AUTO_TEST_CASE(Failures_on_several_instances_are_a_regression)
{
    VersionComparison it;
    it.addOld(growth("o", 200, 2));
    it.addNew(growth("a", 3, 3));
    it.addNew(growth("b", 3, 2));
    BOOST_CHECK(reasonOf(it) == publication::MoveReason::ErrorRate);
}

BOOST_AUTO_TEST_CASE(One_failing_instance_of_many_is_not_a_regression)
{
    VersionComparison it;
    it.addOld(growth("o", 200, 2));
    it.addNew(growth("a", 0, 8));
    it.addNew(growth("b", 12, 0));
    it.addNew(growth("c", 12, 0));
    BOOST_CHECK(reasonOf(it) == publication::MoveReason::None);
}

BOOST_AUTO_TEST_CASE(One_failing_instance_is_enough_while_the_others_had_few_calls)
{
    VersionComparison it;
    it.addOld(growth("o", 200, 2));
    it.addNew(growth("a", 5, 5));
    it.addNew(growth("b", 6, 0));
    BOOST_CHECK(reasonOf(it) == publication::MoveReason::ErrorRate);
}

BOOST_AUTO_TEST_CASE(A_version_with_one_instance_is_assessed_by_that_instance)
{
    VersionComparison it;
    it.addOld(growth("o", 200, 2));
    it.addNew(growth("a", 6, 6));
    BOOST_CHECK(reasonOf(it) == publication::MoveReason::ErrorRate);
}

BOOST_AUTO_TEST_CASE(A_fault_that_affects_both_versions_alike_is_not_a_regression)
{
    VersionComparison it;
    it.addOld(growth("o", 60, 40));
    it.addNew(growth("a", 6, 4));
    it.addNew(growth("b", 6, 4));
    BOOST_CHECK(reasonOf(it) == publication::MoveReason::None);
}

BOOST_AUTO_TEST_CASE(A_version_that_fails_in_addition_to_an_overload_is_detected)
{
    VersionComparison it;
    it.addOld(growth("o", 160, 40));
    it.addNew(growth("a", 12, 14));
    it.addNew(growth("b", 12, 13));
    BOOST_CHECK(reasonOf(it) == publication::MoveReason::ErrorRate);
}

BOOST_AUTO_TEST_CASE(A_version_that_is_several_times_slower_is_detected)
{
    VersionComparison it;
    it.addOld(growth("o", 100, 0, 7));
    it.addNew(growth("a", 5, 0, 10));
    it.addNew(growth("b", 5, 0, 10));
    BOOST_CHECK(reasonOf(it) == publication::MoveReason::Latency);
}

BOOST_AUTO_TEST_CASE(A_cold_start_that_doubles_the_latency_is_not_a_regression)
{
    VersionComparison it;
    it.addOld(growth("o", 100, 0, 7));
    it.addNew(growth("a", 5, 0, 8));
    it.addNew(growth("b", 5, 0, 8));
    BOOST_CHECK(reasonOf(it) == publication::MoveReason::None);
}

BOOST_AUTO_TEST_CASE(A_regression_on_a_single_route_is_detected_and_reported_with_the_route)
{
    VersionComparison it;
    it.addOld(growth("o", 500, 2, 7, "good"));
    it.addOld(growth("o", 50, 0, 7, "bad"));
    for (const char* observer : { "a", "b" }) {
        it.addNew(growth(observer, 30, 0, 7, "good"));
        it.addNew(growth(observer, 1, 2, 7, "bad"));
    }
    const auto finding = it.finding();
    BOOST_REQUIRE(finding.has_value());
    BOOST_TEST(finding->route.value() == "bad");
}

BOOST_AUTO_TEST_SUITE_END()

}
