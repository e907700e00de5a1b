#include "Fleet.h"
#include "carobpath/distribution/ReaderElection.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::distribution {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    FleetOptions optionsOf(std::size_t nodes)
    {
        FleetOptions options;
        options.nodes = nodes;
        options.eachNodeReads = true;
        return options;
    }

    /// Nodes that know each other.
    struct JoinedFleet {
        Fleet fleet;

        explicit JoinedFleet(std::size_t nodes)
            : fleet(optionsOf(nodes))
        {
            fleet.publish();
            fleet.startAll();
            BOOST_REQUIRE(fleet.runUntil([&] { return fleet.allKnow(nodes); }, seconds { 60 }).has_value());
            fleet.run(seconds { 5 });
        }

        /// \returns whether all nodes but the first heard of the end.
        bool allHeardOf(publication::StreamPosition end) const
        {
            for (std::size_t i = 1; i < fleet.size(); ++i) {
                if (fleet.running(i) && fleet.streamEnd(i) < end)
                    return false;
            }
            return true;
        }
    };

}

BOOST_AUTO_TEST_SUITE(Stream_ends)

BOOST_AUTO_TEST_CASE(An_announced_end_reaches_every_node_at_once)
{
    for (const std::size_t nodes : { 2U, 14U, 69U, 294U }) {
        JoinedFleet it { nodes };
        it.fleet.execute(0, it.fleet.engine(0).announceStreamEnd({ "orders", { {}, 5 } }));
        const auto took = it.fleet.runUntil([&] { return it.allHeardOf({ {}, 5 }); }, seconds { 5 });
        BOOST_TEST_REQUIRE(took.has_value());
        BOOST_TEST(took->count() <= milliseconds { 100 }.count(), nodes << " nodes: " << took->count() << " ms");
    }
}

BOOST_AUTO_TEST_CASE(An_end_that_one_node_has_read_reaches_the_others_by_gossip)
{
    JoinedFleet it { 14 };
    it.fleet.engine(0).onStreamRead({ "orders", { {}, 5 } });
    BOOST_TEST(it.fleet.runUntil([&] { return it.fleet.streamEnd(13).offset == 5; }, seconds { 20 }).has_value());
}

BOOST_AUTO_TEST_CASE(An_older_end_changes_nothing_and_more_streams_than_expected_are_ignored)
{
    StreamEnds ends;
    BOOST_TEST(ends.advance({ "orders", { {}, 5 } }));
    BOOST_TEST(!ends.advance({ "orders", { {}, 4 } }));
    for (int i = 0; i < 100; ++i)
        ends.advance({ "stream-" + std::to_string(i), { {}, 1 } });
    BOOST_TEST(ends.all().size() == StreamEnds::s_maxStreams);
    BOOST_TEST(ends.all().front().end.offset == 5U);
}

BOOST_AUTO_TEST_CASE(A_lower_end_of_a_later_era_reaches_every_node_and_is_not_undone_by_a_late_one)
{
    JoinedFleet it { 14 };
    it.fleet.execute(0, it.fleet.engine(0).announceStreamEnd({ "orders", { {}, 500 } }));
    BOOST_TEST(it.fleet.runUntil([&] { return it.allHeardOf({ {}, 500 }); }, seconds { 5 }).has_value());
    it.fleet.execute(0, it.fleet.engine(0).announceStreamEnd({ "orders", { { 1 }, 3 } }));
    BOOST_TEST(it.fleet.runUntil([&] { return it.allHeardOf({ { 1 }, 3 }); }, seconds { 5 }).has_value());
    it.fleet.execute(5, it.fleet.engine(5).announceStreamEnd({ "orders", { {}, 600 } }));
    it.fleet.run(seconds { 20 });
    BOOST_TEST(it.allHeardOf({ { 1 }, 3 }));
}

BOOST_AUTO_TEST_CASE(The_readers_that_are_counted_are_those_elected)
{
    JoinedFleet it { 14 };
    const auto& view = *it.fleet.engine(0).currentView();
    std::size_t elected = 0;
    for (const auto& node : view.nodes)
        elected += isLogReader(view, node.entry.name, node.entry.domain) ? 1 : 0;
    BOOST_TEST(countLogReaders(view) == elected);
    BOOST_TEST(elected == 9U);
}

BOOST_AUTO_TEST_SUITE_END()

}
