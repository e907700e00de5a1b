#include "carobpath/routing/DomainBalance.h"

#include <boost/test/unit_test.hpp>

#include <functional>

namespace carobpath::routing::tests {

namespace {

    using namespace std::chrono_literals;
    using std::chrono::milliseconds;

    constexpr MonotonicTime startTime { std::chrono::hours { 1 } };

    struct Balanced {
        DomainBalance balance;
        MonotonicTime now { startTime };
        double smallest = 1;
        double largest = 0;

        /// Lets calls end for a while; their times depend on the part that leaves the domain. Others tell theirs once a second.
        void run(std::chrono::seconds time, const std::function<milliseconds(double)>& local, const std::function<milliseconds(double)>& remote)
        {
            smallest = 1;
            largest = 0;
            const auto end = now + time;
            for (int i = 0; now < end; ++i, now += 100ms) {
                const double share = balance.remoteShare(now);
                smallest = std::min(smallest, share);
                largest = std::max(largest, share);
                balance.onLocalCall(local(share), now);
                if (i % 10 == 0)
                    balance.onRemoteTime(remote(share), now);
            }
        }
    };

    /// A server's time by its load, up to the objective.
    milliseconds timeAt(double load) { return milliseconds { static_cast<int>(std::min(500.0, 100 / std::max(0.1, 1.05 - load))) }; }

}

BOOST_AUTO_TEST_SUITE(Domain_balances)

BOOST_FIXTURE_TEST_CASE(Domains_that_are_alike_keep_their_calls, Balanced)
{
    run(
        60s, [](double) { return 200ms; }, [](double) { return 190ms; });
    BOOST_TEST(largest == 0.0);
}

BOOST_FIXTURE_TEST_CASE(A_domain_without_news_of_the_others_keeps_its_calls, Balanced)
{
    for (int i = 0; i < 100; ++i, now += 100ms) {
        balance.onLocalCall(500ms, now);
        BOOST_TEST(balance.remoteShare(now) == 0.0);
    }
}

BOOST_FIXTURE_TEST_CASE(A_loaded_domain_gives_away_what_evens_out_the_times_and_does_not_swing, Balanced)
{
    const auto local = [](double share) { return timeAt(1.0 * (1 - share)); };
    const auto remote = [](double share) { return timeAt(0.75 + 0.5 * share); };
    run(30s, local, remote);
    run(60s, local, remote);
    BOOST_TEST(smallest > 0.05);
    BOOST_TEST(largest < 0.25);
    BOOST_TEST(largest - smallest < 0.04);
}

BOOST_FIXTURE_TEST_CASE(Calls_come_home_once_the_load_has_gone, Balanced)
{
    run(
        30s, [](double) { return 500ms; }, [](double) { return 100ms; });
    BOOST_TEST(balance.remoteShare(now) > 0.2);
    run(
        15s, [](double) { return 100ms; }, [](double) { return 150ms; });
    run(
        60s, [](double) { return 100ms; }, [](double) { return 100ms; });
    BOOST_TEST(balance.remoteShare(now) == 0.0);
}

BOOST_FIXTURE_TEST_CASE(Old_news_of_the_others_is_not_used, Balanced)
{
    run(
        20s, [](double) { return 500ms; }, [](double) { return 100ms; });
    const double before = balance.remoteShare(now);
    for (int i = 0; i < 300; ++i, now += 100ms) {
        balance.onLocalCall(500ms, now);
        balance.remoteShare(now);
    }
    BOOST_TEST(balance.remoteShare(now) < before);
}

BOOST_AUTO_TEST_SUITE_END()

}
