#include "BusyInstance.h"

#include "carobpath/gateway/GatewayLimits.h"
#include "carobpath/publication/HttpExchange.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::node::tests {

namespace {

    constexpr std::chrono::seconds changes = 12s;
    /// Time within which a version must be in force.
    constexpr Duration configurationBound = 2500ms;
    constexpr Duration halfConfigurationBound = configurationBound / 2;
    /// Time that an inner call of 400 ms leaves for its way besides the work of its backend server.
    constexpr Duration innerCallBound = 350ms;
    /// What Beast reads at a time from a buffer without room.
    constexpr std::size_t smallRead = 512;
    constexpr std::chrono::seconds minutes { 120 };
    constexpr ReadSizes largeReads { publication::Detail::HttpExchange::s_readBytes, gateway::GatewayLimits::s_pieceBytes };

    /// \returns downloads that ask for this part of the link's stated rate, beside hardly any configuration.
    BusyLoad loadOf(double demand, double carriedPart)
    {
        const std::chrono::duration<double> interval { BusyInstance::s_downloadBytes / (Link::s_bytesPerSecond * demand) };
        return { std::chrono::duration_cast<Duration>(interval), 60s, carriedPart, 8 };
    }

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

// Guards against a series of versions that takes the thread and the link from calls, or is late behind them.
BOOST_AUTO_TEST_CASE(A_series_of_versions_that_are_forwarded_is_in_force_in_half_of_its_bound_for_minutes)
{
    for (const Duration interval : { 170ms, 300ms, 1'000ms }) {
        BusyLoad load;
        load.configurationInterval = interval;
        load.changeBytes = 3'000;
        load.downloadInterval = 150ms;
        BusyInstance instance(largeReads, load);
        instance.run(minutes);
        BOOST_TEST(instance.configurationAges.size() + 3 >= static_cast<std::size_t>(minutes / interval));
        BOOST_TEST((longest(instance.configurationAges) <= halfConfigurationBound));
        BOOST_TEST((mostOf(instance.innerCallDelays) <= innerCallBound));
    }
}

BOOST_AUTO_TEST_CASE(The_same_series_read_whole_is_late)
{
    BusyLoad load;
    load.configurationInterval = 300ms;
    load.downloadInterval = 150ms;
    BusyInstance instance(largeReads, load);
    instance.run(minutes);
    BOOST_TEST((longest(instance.configurationAges) > halfConfigurationBound));
}

// Guards against inner calls that wait longer and longer behind the downloads of their instance.
BOOST_AUTO_TEST_CASE(Inner_calls_come_back_in_time_for_minutes_beside_downloads_of_any_demand)
{
    for (const double demand : { 0.9, 1.0, 1.2, 2.0 }) {
        for (const double carriedPart : { 1.0, 0.9 }) {
            BusyInstance instance(largeReads, loadOf(demand, carriedPart));
            instance.run(minutes);
            const auto& delays = instance.innerCallDelays;
            const std::vector<Duration> last(delays.end() - static_cast<std::ptrdiff_t>(delays.size() / 10), delays.end());
            BOOST_TEST((mostOf(last) <= innerCallBound), "demand " << demand << " on a link of " << carriedPart);
        }
    }
}

BOOST_AUTO_TEST_CASE(Inner_calls_are_as_fast_after_a_burst_of_downloads_as_before)
{
    BusyInstance instance(largeReads, loadOf(0.5, 1));
    instance.run(20s);
    const auto before = mostOf(instance.innerCallDelays);
    instance.setDownloadInterval(loadOf(3, 1).downloadInterval);
    instance.run(10s);
    instance.setDownloadInterval(loadOf(0.5, 1).downloadInterval);
    instance.run(5s);
    instance.innerCallDelays.clear();
    instance.run(20s);
    BOOST_TEST((mostOf(instance.innerCallDelays) <= 2 * before));
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
