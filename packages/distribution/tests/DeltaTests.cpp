#include "carobpath/distribution/Delta.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::distribution {

namespace {

    publication::ServiceEntry service(const std::string& name, publication::Offset changedAt)
    {
        publication::ServiceEntry entry;
        entry.service.name = ServiceName { name };
        entry.changedAt = changedAt;
        return entry;
    }

}

BOOST_AUTO_TEST_SUITE(Deltas)

BOOST_AUTO_TEST_CASE(A_delta_applied_to_its_base_gives_its_result)
{
    publication::ConfigurationVersion base;
    base.set.services.emplace(ServiceName { "catalog" }, service("catalog", 1));
    base.set.services.emplace(ServiceName { "reports" }, service("reports", 2));
    publication::ConfigurationVersion result;
    result.set.services.emplace(ServiceName { "catalog" }, service("catalog", 3));
    result.set.services.emplace(ServiceName { "booking" }, service("booking", 3));

    const Delta delta = deltaBetween(base, result);

    BOOST_TEST(delta.services.size() == 2U);
    BOOST_TEST(delta.removedServices.size() == 1U);
    BOOST_TEST((applyDelta(base.set, delta) == result.set));
}

BOOST_AUTO_TEST_SUITE_END()

}
