#include "BusyInstance.h"

#include "carobpath/gateway/GatewayLimits.h"
#include "carobpath/publication/HttpExchange.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::node::tests {

namespace {

    constexpr std::chrono::seconds changes = 12s;
    /// Time within which a version must be in force.
    constexpr Duration configurationBound = 2500ms;
    /// Time that an inner call of 400 ms leaves for its way besides the work of its backend server.
    constexpr Duration innerCallBound = 350ms;
    /// What Beast reads at a time from a buffer without room.
    constexpr std::size_t smallRead = 512;
    /// One value of this many may be larger.
    constexpr std::size_t outlierEvery = 20;

    /// \returns the value that all but one of twenty stay below.
    Duration mostOf(std::vector<Duration> values)
    {
        std::sort(values.begin(), values.end());
        return values.at(values.size() - 1 - values.size() / outlierEvery);
    }

    Duration longest(const std::vector<Duration>& values) { return *std::max_element(values.begin(), values.end()); }

}

BOOST_AUTO_TEST_SUITE(A_busy_instance)

// Guards against configurations that are late since they share a slow thread and a narrow link with calls and downloads.
BOOST_AUTO_TEST_CASE(Configurations_are_in_force_in_time_beside_calls_of_calls_and_downloads)
{
    BusyInstance instance({ publication::Detail::HttpExchange::s_readBytes, gateway::GatewayLimits::s_pieceBytes });
    instance.run(changes);
    BOOST_TEST(instance.configurationAges.size() + 1 >= changes.count());
    BOOST_TEST((longest(instance.configurationAges) <= configurationBound));
    BOOST_TEST((mostOf(instance.innerCallDelays) <= innerCallBound));
    BOOST_TEST(instance.downloads == instance.downloadsBegun);
}

BOOST_AUTO_TEST_CASE(Reads_of_512_bytes_of_the_store_alone_make_configurations_late)
{
    BusyInstance instance({ smallRead, gateway::GatewayLimits::s_pieceBytes });
    instance.run(changes);
    const bool isLate = instance.configurationAges.empty() || longest(instance.configurationAges) > configurationBound;
    BOOST_TEST(isLate);
}

BOOST_AUTO_TEST_CASE(Reads_of_512_bytes_of_upstreams_alone_starve_downloads)
{
    BusyInstance instance({ publication::Detail::HttpExchange::s_readBytes, smallRead });
    instance.run(changes);
    BOOST_TEST(instance.downloads < instance.downloadsBegun / 2);
}

BOOST_AUTO_TEST_SUITE_END()

}
