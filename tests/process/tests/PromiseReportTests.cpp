#include "PromiseReport.h"

#include <boost/test/unit_test.hpp>

using namespace carobpath::drill;
using carobpath::harness::EventLine;

namespace {

EventLine inForce(const std::string& process, std::uint64_t offset, const std::string& digest)
{
    return { { "event", "configuration-in-force" }, { "process", process }, { "offset", offset }, { "digest", digest } };
}

}

BOOST_AUTO_TEST_SUITE(Promise_report)

BOOST_AUTO_TEST_CASE(A_step_back_is_counted_and_a_later_life_does_not_hide_it)
{
    const auto findings = auditConfigurations({ inForce("a", 1, "x"), inForce("a", 3, "y"), inForce("a", 2, "z"), inForce("b", 1, "x") });
    BOOST_TEST(findings.inForce == 4U);
    BOOST_TEST(findings.stepsBack == 1U);
    BOOST_TEST(findings.digestConflicts == 0U);
}

BOOST_AUTO_TEST_CASE(Two_sets_under_one_offset_are_counted)
{
    BOOST_TEST(auditConfigurations({ inForce("a", 1, "x"), inForce("b", 1, "y") }).digestConflicts == 1U);
}

BOOST_AUTO_TEST_CASE(Lines_are_merged_by_their_hybrid_times)
{
    const auto merged = mergedTimeLine({ { { "hybrid", "10.0" }, { "n", 2 } }, { { "hybrid", "9.7" }, { "n", 1 } }, { { "hybrid", "10.1" }, { "n", 3 } } });
    BOOST_TEST(merged.find("\"n\":1") < merged.find("\"n\":2"));
    BOOST_TEST(merged.find("\"n\":2") < merged.find("\"n\":3"));
}

BOOST_AUTO_TEST_SUITE_END()
