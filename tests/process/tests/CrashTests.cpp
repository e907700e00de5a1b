#include "Eventually.h"
#include "Fleet.h"
#include "Objects.h"

#include <boost/test/unit_test.hpp>

using namespace carobpath::harness;

namespace {

CallerAnswer get(const NodeProcess& node, const std::string& target)
{
    CallerRequest request;
    request.host = objects::bookingHost;
    request.target = target;
    return call(node.callers(), request);
}

}

BOOST_AUTO_TEST_SUITE(Crashing_request)

BOOST_AUTO_TEST_CASE(A_request_that_crashes_backend_servers_crashes_no_more_than_two)
{
    Fleet fleet;
    for (const auto* domain : { "amman-a", "amman-b", "amman-a", "amman-b" })
        fleet.add(domain, {});
    fleet.publishBooking();
    for (std::size_t i = 0; i < 6; ++i)
        get(fleet.node(i % 4), "/crash-mark");
    std::size_t crashed = 0;
    for (auto& instance : fleet.instances())
        crashed += instance.backend->process().isRunning() ? 0 : 1;
    BOOST_TEST_INFO_SCOPE(fleet.timeLines());
    BOOST_TEST(crashed <= 2U);
    BOOST_TEST(fleet.runsOf("/crash-mark") <= 2U);
}

BOOST_AUTO_TEST_SUITE_END()
