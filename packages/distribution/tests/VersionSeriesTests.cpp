#include "Fleet.h"
#include "carobpath/publication/ReadPacer.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::distribution {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// Half of the 3 s within which a version must be in force.
    constexpr milliseconds inForceBound { 1500 };
    constexpr milliseconds step { 20 };

    /// A fleet whose nodes read the same store, which sends to one after the other what was the newest version when it was asked.
    class SharedStoreFleet {
    public:
        explicit SharedStoreFleet(std::uint64_t seed)
            : fleet(optionsOf(seed))
        {
            fleet.publish();
            fleet.startAll();
            for (std::size_t i = 0; i < s_nodes; ++i)
                fleet.readOnce(i);
            BOOST_REQUIRE(fleet.runUntil([&] { return fleet.allKnow(s_nodes) && fleet.allServe(0); }, seconds { 60 }).has_value());
            m_storeFreeAt = fleet.now();
        }

        void runStep()
        {
            for (std::size_t i = 0; i < s_nodes; ++i)
                read(i);
            fleet.run(step);
        }

        bool allServeAtLeast(publication::Offset version) const
        {
            for (std::size_t i = 0; i < s_nodes; ++i) {
                const auto serving = fleet.serving(i);
                if (fleet.running(i) && (!serving || serving->stamp.offset < version))
                    return false;
            }
            return true;
        }

        Fleet fleet;

    private:
        static constexpr std::size_t s_nodes = 294;
        /// Time in which the store sends one answer.
        static constexpr std::chrono::microseconds s_sendTime { 4'600 };
        /// Time between two reads of a node, and before it reads what a peer told of and has not forwarded.
        static constexpr milliseconds s_readPause { 300 };
        static constexpr milliseconds s_forwardTimeout { publication::ReadPacer::s_forwardTimeout };
        static constexpr std::size_t s_domains = 5;
        /// Nodes of a failure domain that wait at the store.
        static constexpr std::size_t s_pollingPerDomain = 6;

        struct PendingRead {
            MonotonicTime deliveredAt;
            publication::Offset newest = 0;
        };
        struct Reader {
            std::optional<PendingRead> pending;
            MonotonicTime mayReadAt;
            /// When a peer first told of a version that the node does not have.
            std::optional<MonotonicTime> toldAt;
        };

        static FleetOptions optionsOf(std::uint64_t seed)
        {
            FleetOptions options;
            options.nodes = s_nodes;
            options.domains = s_domains;
            options.seed = seed;
            options.services = 10;
            options.eachNodeReads = true;
            options.electedNodesRead = false;
            return options;
        }

        void read(std::size_t node)
        {
            auto& it = m_readers[node];
            const auto now = fleet.now();
            if (it.pending && it.pending->deliveredAt <= now) {
                const auto newest = it.pending->newest;
                it = Reader { std::nullopt, now + s_readPause, std::nullopt };
                fleet.deliverRead(node, newest);
                fleet.reachEnd(node, { "operator", { {}, newest } });
            }
            const auto serving = fleet.serving(node);
            const auto held = serving ? serving->stamp.offset : 0;
            const bool isTold = fleet.streamEnd(node).offset > held;
            if (!isTold)
                it.toldAt.reset();
            else if (!it.toldAt)
                it.toldAt = now;
            const bool isPolling = node / s_domains < s_pollingPerDomain;
            const bool hasMissed = it.toldAt && now - *it.toldAt >= s_forwardTimeout;
            const bool reads = isPolling ? held < fleet.newest() : hasMissed;
            if (it.pending || now < it.mayReadAt || !reads)
                return;
            m_storeFreeAt = std::max(m_storeFreeAt, now) + s_sendTime;
            it.pending = PendingRead { m_storeFreeAt, fleet.newest() };
        }

        std::vector<Reader> m_readers { s_nodes };
        MonotonicTime m_storeFreeAt;
    };

}

BOOST_AUTO_TEST_SUITE(A_series_of_versions_in_a_large_fleet)

BOOST_AUTO_TEST_CASE(Each_version_is_in_force_on_the_last_node_within_half_of_its_bound)
{
    constexpr milliseconds gap { 240 };
    constexpr publication::Offset versions = 16;
    for (const std::uint64_t seed : { 1U, 2U, 3U }) {
        SharedStoreFleet shared { seed };
        const auto begin = shared.fleet.now();
        std::vector<MonotonicTime> publishedAt;
        MonotonicClock::duration longest {};
        publication::Offset inForce = 0;
        while (inForce < versions && shared.fleet.now() - begin < seconds { 30 }) {
            if (publishedAt.size() < versions && shared.fleet.now() - begin >= gap * publishedAt.size()) {
                shared.fleet.publish();
                publishedAt.push_back(shared.fleet.now());
            }
            shared.runStep();
            while (inForce < publishedAt.size() && shared.allServeAtLeast(inForce + 1))
                longest = std::max(longest, shared.fleet.now() - publishedAt[inForce++]);
        }
        BOOST_TEST(inForce == versions);
        BOOST_TEST_MESSAGE("seed " << seed << ": " << std::chrono::duration_cast<milliseconds>(longest).count() << " ms");
        BOOST_TEST((longest <= inForceBound), "seed " << seed << ": the last node had a version after " << std::chrono::duration_cast<milliseconds>(longest).count() << " ms");
        BOOST_TEST(shared.fleet.violations().empty());
    }
}

BOOST_AUTO_TEST_CASE(Lost_damaged_repeated_and_late_changes_end_in_the_whole_set)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        FleetOptions options;
        options.nodes = 30;
        options.seed = seed;
        options.eachNodeReads = true;
        options.electedNodesRead = false;
        options.loss = 0.1;
        options.duplicates = 0.1;
        options.damagedDeltas = 0.2;
        options.maxDelay = milliseconds { 300 };
        Fleet fleet { options };
        fleet.publish();
        fleet.startAll();
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.readOnce(i);
        BOOST_REQUIRE(fleet.runUntil([&] { return fleet.allServe(0); }, seconds { 60 }).has_value());
        std::mt19937_64 random { seed };
        for (int version = 1; version <= 20; ++version) {
            if (version % 5 == 0) {
                // A relay that stops between two versions, and comes back without any.
                const auto stopped = random() % fleet.size();
                fleet.kill(stopped);
                fleet.run(milliseconds { 100 });
                fleet.start(stopped);
            }
            fleet.publish();
            fleet.readOnce(random() % fleet.size());
            if (version % 7 == 0)
                fleet.silenceConnections(0.3);
            fleet.run(milliseconds { 170 });
        }
        BOOST_TEST(fleet.runUntil([&] { return fleet.allServe(20); }, seconds { 30 }).has_value());
        BOOST_TEST(fleet.violations().empty(), "seed " << seed << ": " << (fleet.violations().empty() ? "" : fleet.violations().front()));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
