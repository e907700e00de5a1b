#include "Fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace carobpath::distribution {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// Nodes without seeds that all start at the same time and learn the addresses of those that registered before them.
    struct DirectoryStart {
        static constexpr std::size_t s_nodes = 14;

        std::unique_ptr<Fleet> fleet;
        std::vector<Endpoint> directory;

        explicit DirectoryStart(std::uint64_t seed)
        {
            FleetOptions options;
            options.nodes = s_nodes;
            options.seeds = 0;
            options.seed = seed;
            fleet = std::make_unique<Fleet>(options);
            fleet->publish();
        }

        void startAll()
        {
            fleet->startAll();
            for (std::size_t i = 0; i < s_nodes; ++i) {
                fleet->run(milliseconds { 2 });
                fleet->execute(i, fleet->engine(i).addSeeds(directory));
                directory.push_back(fleet->engine(i).members().self().addresses.peer);
            }
        }

        bool allKnowUpstreams(std::size_t count)
        {
            for (std::size_t i = 0; i < s_nodes; ++i) {
                const auto& view = fleet->engine(i).currentView();
                const auto known = std::count_if(view->nodes.begin(), view->nodes.end(), [](const auto& it) { return it.entry.upstream.has_value(); });
                if (static_cast<std::size_t>(known) < count)
                    return false;
            }
            return true;
        }
    };

    constexpr std::uint64_t seeds = 20;
    /// Limit for a node to learn of all others. Calls are refused until an upstream is known.
    constexpr milliseconds maxConvergenceTime { 500 };

}

BOOST_AUTO_TEST_SUITE(A_fleet_that_starts_at_the_same_time_from_a_directory)

BOOST_AUTO_TEST_CASE(Knows_all_its_nodes_within_half_a_second)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            DirectoryStart start(seed);
            start.startAll();
            BOOST_TEST(start.fleet->runUntil([&] { return start.fleet->allKnow(DirectoryStart::s_nodes); }, maxConvergenceTime).has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(Knows_each_upstream_within_half_a_second_of_its_announcement)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            DirectoryStart start(seed);
            start.startAll();
            start.fleet->run(milliseconds { 200 });
            for (std::size_t i = 0; i < DirectoryStart::s_nodes; ++i) {
                start.fleet->setUpstream(i, membership::UpstreamState::Ready);
                start.fleet->run(milliseconds { 40 });
            }
            BOOST_TEST(start.fleet->runUntil([&] { return start.allKnowUpstreams(DirectoryStart::s_nodes); }, maxConvergenceTime).has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(Knows_all_its_upstreams_again_within_half_a_second_after_all_were_killed)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            DirectoryStart start(seed);
            start.startAll();
            start.fleet->run(seconds { 10 });
            for (std::size_t i = 0; i < DirectoryStart::s_nodes; ++i)
                start.fleet->kill(i);
            start.fleet->run(seconds { 1 });
            start.startAll();
            for (std::size_t i = 0; i < DirectoryStart::s_nodes; ++i)
                start.fleet->setUpstream(i, membership::UpstreamState::Ready);
            BOOST_TEST(start.fleet->runUntil([&] { return start.allKnowUpstreams(DirectoryStart::s_nodes); }, maxConvergenceTime).has_value());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
