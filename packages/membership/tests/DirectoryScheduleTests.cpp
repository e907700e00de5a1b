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
    schedule.onListed(start);
    BOOST_CHECK(schedule.next(start + DirectorySchedule::s_isolatedInterval) == DirectoryStep::List);
    schedule.onLivePeersChanged(3, start + 1s);
    schedule.onListed(start + 1s);
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
    schedule.onListed(start);
    schedule.onLivePeersChanged(0, start + 2s);
    BOOST_CHECK(schedule.next(start + 2s) == DirectoryStep::List);
}

BOOST_AUTO_TEST_SUITE_END()

}
