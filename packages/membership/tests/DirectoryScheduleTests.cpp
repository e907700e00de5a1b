#include "carobpath/membership/DirectorySchedule.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::membership {

using namespace std::chrono_literals;

namespace {

    const MonotonicTime start { 1000s };

    DirectorySchedule makeSchedule() { return DirectorySchedule { std::mt19937_64 { 3 }, start }; }

}

BOOST_AUTO_TEST_SUITE(DirectorySchedules)

BOOST_AUTO_TEST_CASE(A_node_registers_before_it_lists)
{
    auto schedule = makeSchedule();
    BOOST_CHECK(schedule.next(start) == DirectoryStep::Register);
    BOOST_CHECK(schedule.next(start) == DirectoryStep::Nothing);
    schedule.onRegistered(start);
    BOOST_CHECK(schedule.next(start) == DirectoryStep::List);
}

BOOST_AUTO_TEST_CASE(A_failed_step_is_retried_within_seconds)
{
    auto schedule = makeSchedule();
    for (int i = 0; i < 20; ++i) {
        auto now = start + i * 10s;
        BOOST_CHECK(schedule.next(now) == DirectoryStep::Register);
        schedule.onFailed(now);
    }
    BOOST_CHECK(schedule.next(start + 190s + DirectorySchedule::s_maxRetryDelay) == DirectoryStep::Register);
}

BOOST_AUTO_TEST_CASE(A_node_without_peers_lists_again_soon_and_one_with_peers_rarely)
{
    auto schedule = makeSchedule();
    schedule.next(start);
    schedule.onRegistered(start);
    schedule.next(start);
    schedule.onListed(true, start);
    BOOST_CHECK(schedule.next(start + DirectorySchedule::s_isolatedInterval) == DirectoryStep::List);
    schedule.onLivePeersChanged(3, start + 1s);
    schedule.onListed(true, start + 1s);
    BOOST_CHECK(schedule.next(start + 3s) == DirectoryStep::Nothing);
    BOOST_CHECK(schedule.next(start + 1s + DirectorySchedule::s_steadyInterval) == DirectoryStep::List);
}

BOOST_AUTO_TEST_CASE(A_node_that_lost_all_others_lists_at_once)
{
    auto schedule = makeSchedule();
    schedule.next(start);
    schedule.onRegistered(start);
    schedule.next(start);
    schedule.onLivePeersChanged(3, start);
    schedule.onListed(true, start);
    schedule.onLivePeersChanged(0, start + 2s);
    BOOST_CHECK(schedule.next(start + 2s) == DirectoryStep::List);
}

// The store's rate of calls is shared by the fleet.
BOOST_AUTO_TEST_CASE(A_fleet_lists_no_more_often_the_larger_it_is)
{
    constexpr auto observed = 10min;
    for (const std::size_t nodes : { 30U, 300U, 1000U }) {
        std::size_t listings = 0;
        for (std::size_t i = 0; i < nodes; ++i) {
            DirectorySchedule schedule { std::mt19937_64 { i }, start };
            schedule.next(start);
            schedule.onRegistered(start);
            schedule.onLivePeersChanged(1, start);
            // The others are found one by one.
            schedule.onLivePeersChanged(nodes - 1, start + 5s);
            for (auto now = start + 5s; now < start + observed; now += 1s) {
                if (schedule.next(now) != DirectoryStep::List)
                    continue;
                ++listings;
                schedule.onListed(true, now);
            }
        }
        const auto mostListings = 2 * static_cast<std::size_t>(observed / DirectorySchedule::s_fleetInterval);
        BOOST_TEST(listings <= mostListings, nodes << " nodes: " << listings << " listings");
        BOOST_TEST(listings > 0U);
    }
}

BOOST_AUTO_TEST_CASE(An_entry_that_the_store_lost_is_written_again)
{
    auto schedule = makeSchedule();
    schedule.next(start);
    schedule.onRegistered(start);
    schedule.onLivePeersChanged(3, start);
    schedule.next(start);
    schedule.onListed(false, start);
    const auto later = start + 4 * DirectorySchedule::s_recoveryInterval;
    BOOST_CHECK(schedule.next(later) == DirectoryStep::Register);
    schedule.onRegistered(later);
    BOOST_CHECK(schedule.next(later) == DirectoryStep::List);
    schedule.onListed(true, later);
    BOOST_CHECK(schedule.next(later + 1s) == DirectoryStep::Nothing);
}

BOOST_AUTO_TEST_CASE(Nodes_look_after_their_entries_once_the_store_came_back_at_times_that_are_spread)
{
    constexpr std::size_t nodes = 294;
    std::size_t inFirstSecond = 0;
    for (std::size_t i = 0; i < nodes; ++i) {
        DirectorySchedule schedule { std::mt19937_64 { i }, start };
        schedule.next(start);
        schedule.onRegistered(start);
        schedule.onLivePeersChanged(nodes - 1, start);
        schedule.next(start + 1min);
        schedule.onListed(true, start);
        schedule.onEntriesLost(start);
        const bool isEarly = schedule.next(start + 1s) == DirectoryStep::List;
        inFirstSecond += isEarly ? 1 : 0;
        BOOST_CHECK(isEarly || schedule.next(start + nodes * DirectorySchedule::s_recoveryInterval) == DirectoryStep::List);
    }
    BOOST_TEST(inFirstSecond > 20U);
    BOOST_TEST(inFirstSecond < 80U);
}

BOOST_AUTO_TEST_CASE(A_listing_that_began_before_the_loss_is_repeated)
{
    auto schedule = makeSchedule();
    schedule.next(start);
    schedule.onRegistered(start);
    schedule.onLivePeersChanged(3, start);
    BOOST_CHECK(schedule.next(start + 1min) == DirectoryStep::List);
    schedule.onEntriesLost(start + 1min);
    schedule.onListed(true, start + 1min);
    BOOST_CHECK(schedule.next(start + 1min + 1s) == DirectoryStep::List);
}

BOOST_AUTO_TEST_SUITE_END()

}
