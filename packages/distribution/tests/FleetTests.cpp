#include "Fleet.h"

#include "carobpath/distribution/ReaderElection.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::distribution {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

    /// \returns a fleet in which all nodes know each other and serve with the first version.
    std::unique_ptr<Fleet> settledFleet(FleetOptions options)
    {
        auto fleet = std::make_unique<Fleet>(options);
        fleet->publish();
        fleet->startAll();
        const bool settled = fleet->runUntil([&] { return fleet->allKnow(options.nodes) && fleet->allServe(0); }, seconds { 60 }).has_value();
        BOOST_REQUIRE(settled);
        return fleet;
    }

    void requireNoViolation(const Fleet& fleet)
    {
        for (const auto& it : fleet.violations())
            BOOST_ERROR(it);
    }

    struct LinkCase {
        const char* name;
        double loss;
        double duplicates;
        std::chrono::microseconds maxDelay;
    };

    const LinkCase linkCases[] = {
        { "no faults", 0, 0, milliseconds { 2 } },
        { "10 % lost", 0.1, 0, milliseconds { 2 } },
        { "33 % duplicated", 0, 0.33, milliseconds { 2 } },
        { "delayed and reordered", 0, 0, milliseconds { 900 } },
        { "all faults", 0.1, 0.2, milliseconds { 400 } },
    };

}

BOOST_AUTO_TEST_SUITE(Fleets)

BOOST_AUTO_TEST_CASE(Changes_reach_all_nodes_over_unreliable_links)
{
    for (const auto& it : linkCases) {
        BOOST_TEST_CONTEXT(it.name)
        {
            FleetOptions options;
            options.nodes = 30;
            options.loss = it.loss;
            options.duplicates = it.duplicates;
            options.maxDelay = it.maxDelay;
            const auto fleet = settledFleet(options);
            publication::Offset offset = 0;
            for (int i = 0; i < 5; ++i) {
                offset = fleet->publish();
                fleet->run(milliseconds { 150 });
            }
            const auto took = fleet->runUntil([&] { return fleet->allServe(offset); }, seconds { 30 });
            BOOST_REQUIRE(took);
            BOOST_TEST(took->count() <= 5000);
            requireNoViolation(*fleet);
        }
    }
}

BOOST_AUTO_TEST_CASE(Only_the_elected_readers_read_the_log)
{
    FleetOptions options;
    options.nodes = 60;
    const auto fleet = settledFleet(options);
    fleet->run(seconds { 20 });
    BOOST_TEST(fleet->readers() == 3 * logReadersPerDomain);
}

BOOST_AUTO_TEST_CASE(A_domain_that_cannot_read_the_log_still_gets_changes)
{
    FleetOptions options;
    options.nodes = 30;
    const auto fleet = settledFleet(options);
    fleet->cutLog(1);
    const auto offset = fleet->publish();
    const auto took = fleet->runUntil([&] { return fleet->allServe(offset); }, seconds { 10 });
    BOOST_REQUIRE(took);
    BOOST_TEST(took->count() <= 1000);
}

BOOST_AUTO_TEST_CASE(Log_readers_that_die_are_replaced)
{
    FleetOptions options;
    options.nodes = 30;
    const auto fleet = settledFleet(options);
    for (std::size_t i = 0; i < fleet->size(); ++i) {
        if (fleet->domainOf(i) == 0 && isLogReader(*fleet->engine(i).currentView(), fleet->engine(i).members().self().name, FailureDomainName { "domain-0" }))
            fleet->kill(i);
    }
    const auto offset = fleet->publish();
    const auto took = fleet->runUntil([&] { return fleet->allServe(offset); }, seconds { 20 });
    BOOST_REQUIRE(took);
    BOOST_TEST(took->count() <= 5000);
    BOOST_TEST(fleet->runUntil([&] { return fleet->readers() == 3 * logReadersPerDomain && fleet->allKnow(27); }, seconds { 60 }).has_value());
}

BOOST_AUTO_TEST_CASE(A_domain_partitioned_for_an_hour_catches_up_and_is_known_again)
{
    FleetOptions options;
    options.nodes = 18;
    const auto fleet = settledFleet(options);
    fleet->cut(2, true);
    fleet->run(minutes { 1 });
    BOOST_TEST(fleet->engine(0).members().livePeers() == 11U);
    for (int i = 0; i < 20; ++i) {
        fleet->publish();
        fleet->run(minutes { 3 });
    }
    const auto offset = fleet->publish();
    fleet->run(seconds { 5 });
    BOOST_TEST(!fleet->allServe(offset));
    fleet->heal();
    BOOST_TEST(fleet->runUntil([&] { return fleet->allServe(offset) && fleet->allKnow(18); }, seconds { 120 }).has_value());
    requireNoViolation(*fleet);
}

BOOST_AUTO_TEST_CASE(Half_of_the_fleet_restarting_without_state_recovers_from_its_peers)
{
    FleetOptions options;
    options.nodes = 60;
    const auto fleet = settledFleet(options);
    const auto offset = fleet->publish();
    BOOST_TEST(fleet->runUntil([&] { return fleet->allServe(offset); }, seconds { 10 }).has_value());
    fleet->setLogUp(false);
    for (std::size_t i = 0; i < 60; i += 2)
        fleet->kill(i);
    for (std::size_t i = 0; i < 60; i += 2)
        fleet->start(i);

    const auto took = fleet->runUntil([&] { return fleet->allServe(offset); }, seconds { 60 });

    BOOST_REQUIRE(took);
    BOOST_TEST(took->count() <= 10000);
    requireNoViolation(*fleet);
}

namespace {

    /// Node 0 had a version that the nodes of a partitioned domain lack, and restarts without state among them while the log
    /// is down.
    std::unique_ptr<Fleet> returnAmongStalePeers(std::uint64_t seed, bool withoutVersionFloor)
    {
        FleetOptions options;
        options.nodes = 12;
        options.seed = seed;
        options.withoutVersionFloor = withoutVersionFloor;
        auto fleet = settledFleet(options);
        fleet->cut(1, true);
        fleet->publish();
        fleet->run(seconds { 30 });
        fleet->kill(0);
        fleet->setLogUp(false);
        fleet->heal();
        fleet->start(0);
        fleet->run(seconds { 30 });
        return fleet;
    }

    constexpr std::uint64_t floorSeeds = 30;

}

BOOST_AUTO_TEST_CASE(A_node_that_restarts_without_state_does_not_serve_below_its_version_floor)
{
    for (std::uint64_t seed = 1; seed <= floorSeeds; ++seed) {
        const auto fleet = returnAmongStalePeers(seed, false);
        requireNoViolation(*fleet);
        BOOST_REQUIRE(fleet->serving(0));
        BOOST_TEST(fleet->serving(0)->stamp.offset == 1U);
    }
}

BOOST_AUTO_TEST_CASE(Without_the_version_floor_a_node_that_restarts_without_state_reverts)
{
    std::size_t seen = 0;
    for (std::uint64_t seed = 1; seed <= floorSeeds; ++seed)
        seen += returnAmongStalePeers(seed, true)->violations().empty() ? 0 : 1;
    BOOST_TEST(seen > 0U);
}

namespace {

    std::unique_ptr<Fleet> changeOverDamagedLinks(bool withoutDigests)
    {
        FleetOptions options;
        options.nodes = 30;
        options.damagedDeltas = 0.3;
        options.withoutDigests = withoutDigests;
        auto fleet = settledFleet(options);
        for (int i = 0; i < 5; ++i) {
            fleet->publish();
            fleet->run(seconds { 5 });
        }
        return fleet;
    }

}

BOOST_AUTO_TEST_CASE(A_corrupted_delta_is_refused_and_the_full_set_is_fetched)
{
    const auto fleet = changeOverDamagedLinks(false);
    requireNoViolation(*fleet);
    BOOST_TEST(fleet->allServe(5));
    std::uint64_t mismatches = 0;
    for (std::size_t i = 0; i < fleet->size(); ++i)
        mismatches += fleet->engine(i).counters().digestMismatches;
    BOOST_TEST(mismatches > 0U);
}

BOOST_AUTO_TEST_CASE(Without_digests_a_corrupted_delta_becomes_active)
{
    BOOST_TEST(!changeOverDamagedLinks(true)->violations().empty());
}

BOOST_AUTO_TEST_CASE(A_paused_node_suspects_no_peer_and_catches_up)
{
    FleetOptions options;
    options.nodes = 12;
    const auto fleet = settledFleet(options);
    fleet->pause(5);
    fleet->run(seconds { 40 });
    BOOST_TEST(fleet->engine(0).members().livePeers() == 10U);
    const auto offset = fleet->publish();
    fleet->run(seconds { 2 });
    fleet->resume(5);
    BOOST_TEST(fleet->runUntil([&] { return fleet->allServe(offset) && fleet->allKnow(12); }, seconds { 30 }).has_value());
    BOOST_TEST(fleet->engine(5).counters().pauses >= 1U);
    requireNoViolation(*fleet);
}

BOOST_AUTO_TEST_CASE(A_leaving_node_is_removed_within_a_second)
{
    FleetOptions options;
    options.nodes = 30;
    const auto fleet = settledFleet(options);
    fleet->execute(7, fleet->engine(7).leave(fleet->now()));
    const auto othersKnow = [&] {
        for (std::size_t i = 0; i < fleet->size(); ++i) {
            if (i != 7 && fleet->engine(i).members().livePeers() != 28)
                return false;
        }
        return true;
    };
    const auto took = fleet->runUntil(othersKnow, seconds { 10 });
    BOOST_REQUIRE(took);
    BOOST_TEST(took->count() <= 1000);
}

BOOST_AUTO_TEST_CASE(A_draining_upstream_is_known_everywhere_within_a_second)
{
    FleetOptions options;
    options.nodes = 60;
    const auto fleet = settledFleet(options);
    fleet->setUpstream(11, membership::UpstreamState::Draining);
    const auto allKnow = [&] {
        for (std::size_t i = 0; i < fleet->size(); ++i) {
            const auto* record = fleet->engine(i).members().find(NodeName { "booking-11" });
            if (record->entry.upstream->state != membership::UpstreamState::Draining)
                return false;
        }
        return true;
    };
    const auto took = fleet->runUntil(allKnow, seconds { 10 });
    BOOST_REQUIRE(took);
    BOOST_TEST(took->count() <= 1000);
}

BOOST_AUTO_TEST_CASE(A_take_back_notice_reaches_all_nodes_within_a_second)
{
    FleetOptions options;
    options.nodes = 60;
    options.loss = 0.05;
    const auto fleet = settledFleet(options);
    moves::TakeBackNotice notice;
    notice.move = MoveName { "booking-to-2" };
    notice.observer = NodeName { "booking-3" };
    fleet->evidence(3).addNotice(notice);
    fleet->execute(3, fleet->engine(3).onEvidenceChanged(fleet->now()));
    const auto allKnow = [&] {
        for (std::size_t i = 0; i < fleet->size(); ++i) {
            if (!fleet->evidence(i).hasNotice(notice.move))
                return false;
        }
        return true;
    };
    const auto took = fleet->runUntil(allKnow, seconds { 10 });
    BOOST_REQUIRE(took);
    BOOST_TEST(took->count() <= 1000);
}

BOOST_AUTO_TEST_SUITE_END()

}
