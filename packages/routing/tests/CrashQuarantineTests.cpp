#include "carobpath/routing/CrashQuarantine.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <string>

namespace carobpath::routing::tests {

namespace {

    using namespace std::chrono_literals;

    constexpr Fingerprint killer = 1;
    constexpr Fingerprint hot = 2;
    constexpr Fingerprint first = 3;
    constexpr Fingerprint second = 4;
    constexpr std::size_t nodes = 3;

    /// A few nodes whose reports reach each other at once.
    struct Fleet {
        std::vector<CrashQuarantine> quarantines;
        Now now { MonotonicTime { 1000s }, WallTime { 1796338200s } };

        Fleet()
        {
            for (std::size_t i = 0; i < nodes; ++i)
                quarantines.emplace_back(NodeName { "n" + std::to_string(i) }, Incarnation { 1 });
        }
        void wait(std::chrono::milliseconds time)
        {
            now.monotonic += time;
            now.wall += time;
        }
        void crash(std::size_t node, std::vector<Fingerprint> suspects)
        {
            quarantines[node].onCrash(std::move(suspects), now);
            spread();
        }
        void answer(std::size_t node, Fingerprint it)
        {
            quarantines[node].onAnswered(it, now);
            spread();
        }
        void spread()
        {
            for (std::size_t round = 0; round < nodes; ++round) {
                for (auto& from : quarantines) {
                    const auto update = from.takeUpdate();
                    for (auto& to : quarantines)
                        to.merge(update, now);
                }
            }
        }
        bool refusedEverywhere(Fingerprint it) const { return refusals(it) == nodes; }
        bool refusedAnywhere(Fingerprint it) const { return refusals(it) > 0; }
        std::size_t refusals(Fingerprint it) const
        {
            return static_cast<std::size_t>(std::count_if(quarantines.begin(), quarantines.end(),
                [&](const CrashQuarantine& at) { return at.refusedFor(it, now.monotonic).has_value(); }));
        }
    };

    enum class Event : std::uint8_t { Crash,
        Answer,
        Wait };

    struct FleetEvent {
        Event event = Event::Crash;
        std::size_t node = 0;
        std::vector<Fingerprint> requests;
    };

    struct BlameRow {
        const char* name;
        std::vector<FleetEvent> events;
        std::vector<Fingerprint> refused;
        std::vector<Fingerprint> served;
    };

    const std::vector<BlameRow>& blameRows()
    {
        static const std::vector<BlameRow> rows {
            { "one crash blames nobody", { { Event::Crash, 0, { killer } } }, {}, { killer } },
            { "two crashes alone", { { Event::Crash, 0, { killer } }, { Event::Crash, 1, { killer } } }, { killer }, {} },
            { "two crashes of one server", { { Event::Crash, 0, { killer } }, { Event::Crash, 0, { killer } } },
                { killer }, {} },
            { "other bystanders each time",
                { { Event::Crash, 0, { killer, first } }, { Event::Crash, 1, { killer, second } } }, { killer },
                { first, second } },
            { "the same pair twice is not told apart",
                { { Event::Crash, 0, { killer, first } }, { Event::Crash, 1, { killer, first } } }, {},
                { killer, first } },
            { "the same pair twice, then one of them apart",
                { { Event::Crash, 0, { killer, first } }, { Event::Crash, 1, { killer, first } },
                    { Event::Crash, 2, { killer, second } } },
                { killer }, { first, second } },
            { "the same pair twice, one of them answered meanwhile",
                { { Event::Crash, 0, { killer, first } }, { Event::Answer, 2, { first } },
                    { Event::Crash, 1, { killer, first } } },
                { killer }, { first } },
            { "a hot request beside both, answered by another node just before",
                { { Event::Answer, 2, { hot } }, { Event::Crash, 0, { killer, hot } },
                    { Event::Crash, 1, { killer, hot } } },
                { killer }, { hot } },
            { "a hot request beside two killers",
                { { Event::Answer, 2, { hot } }, { Event::Crash, 0, { killer, hot } }, { Event::Answer, 2, { hot } },
                    { Event::Crash, 1, { first, hot } } },
                {}, { killer, first, hot } },
            { "a bystander of a known killer's crashes",
                { { Event::Crash, 0, { killer } }, { Event::Crash, 1, { killer } },
                    { Event::Crash, 2, { killer, first } }, { Event::Crash, 0, { killer, first } } },
                { killer }, { first } },
            { "two killers, each twice",
                { { Event::Crash, 0, { killer, first } }, { Event::Crash, 1, { killer, second } },
                    { Event::Crash, 2, { hot, first } }, { Event::Crash, 0, { hot, second } } },
                { killer, hot }, { first, second } },
            { "crashes too far apart",
                { { Event::Crash, 0, { killer } }, { Event::Wait, 16, {} }, { Event::Crash, 1, { killer } } }, {},
                { killer } },
            { "the quarantine ends", { { Event::Crash, 0, { killer } }, { Event::Crash, 1, { killer } }, { Event::Wait, 5, {} } },
                {}, { killer } },
            { "one more crash after the quarantine",
                { { Event::Crash, 0, { killer } }, { Event::Crash, 1, { killer } }, { Event::Wait, 6, {} },
                    { Event::Crash, 2, { killer } } },
                { killer }, {} },
        };
        return rows;
    }

    void apply(Fleet& fleet, const FleetEvent& it)
    {
        switch (it.event) {
        case Event::Crash:
            fleet.crash(it.node, it.requests);
            break;
        case Event::Answer:
            fleet.answer(it.node, it.requests.front());
            break;
        case Event::Wait:
            fleet.wait(std::chrono::minutes { it.node });
            for (auto& quarantine : fleet.quarantines)
                quarantine.onTick(fleet.now);
            return;
        }
        fleet.wait(1s);
    }

    /// Counts the crashes that a request was in flight at, whoever stood beside it.
    class PlainCrashCount {
    public:
        void onCrash(const std::vector<Fingerprint>& suspects)
        {
            for (const auto it : suspects)
                ++m_crashes[it];
        }
        bool isRefused(Fingerprint it) const
        {
            const auto found = m_crashes.find(it);
            return found != m_crashes.end() && found->second >= 2;
        }

    private:
        std::map<Fingerprint, int> m_crashes;
    };

}

BOOST_AUTO_TEST_SUITE(Quarantine)

BOOST_AUTO_TEST_CASE(Blame_falls_on_the_request_that_alone_explains_two_crashes)
{
    for (const auto& row : blameRows()) {
        BOOST_TEST_CONTEXT(row.name)
        {
            Fleet fleet;
            for (const auto& it : row.events)
                apply(fleet, it);
            for (const auto it : row.refused)
                BOOST_TEST(fleet.refusedEverywhere(it), "not refused everywhere: " << it);
            for (const auto it : row.served)
                BOOST_TEST(!fleet.refusedAnywhere(it), "refused: " << it);
        }
    }
}

BOOST_AUTO_TEST_CASE(A_plain_count_of_crashes_blames_the_requests_that_stood_beside)
{
    int blamed = 0;
    for (const auto& row : blameRows()) {
        PlainCrashCount count;
        for (const auto& it : row.events) {
            if (it.event == Event::Crash)
                count.onCrash(it.requests);
        }
        for (const auto it : row.served)
            blamed += it != killer && count.isRefused(it) ? 1 : 0;
    }
    BOOST_TEST(blamed > 0);
}

BOOST_AUTO_TEST_CASE(Reports_may_come_in_any_order_and_any_number_of_times)
{
    Fleet source;
    source.answer(2, hot);
    source.crash(0, { killer, hot });
    source.wait(1s);
    source.crash(1, { killer, hot });
    const auto all = source.quarantines[2].snapshot();

    CrashQuarantine late { NodeName { "late" }, Incarnation { 1 } };
    CrashUpdate reversed { { all.reports.rbegin(), all.reports.rend() }, {} };
    for (int i = 0; i < 3; ++i)
        late.merge(reversed, source.now);
    late.merge(all, source.now);
    BOOST_TEST(late.refusedFor(killer, source.now.monotonic).has_value());
    BOOST_TEST(!late.refusedFor(hot, source.now.monotonic).has_value());
    BOOST_TEST(late.snapshot().reports.size() == 2U);
    late.takeUpdate();
    late.merge(all, source.now);
    BOOST_TEST(late.takeUpdate().empty());
}

BOOST_AUTO_TEST_CASE(Memory_stays_bounded_however_many_servers_crash)
{
    Fleet fleet;
    for (Fingerprint i = 0; i < 1000; ++i) {
        std::vector<Fingerprint> suspects;
        for (Fingerprint n = 0; n < 100; ++n)
            suspects.push_back(1000 * i + n);
        fleet.quarantines[0].onCrash(suspects, fleet.now);
        fleet.wait(10ms);
    }
    const auto held = fleet.quarantines[0].snapshot();
    BOOST_TEST(held.reports.size() <= CrashQuarantine::s_maxReports);
    BOOST_TEST(held.reports.back().suspects.size() <= CrashQuarantine::s_maxSuspects);
}

BOOST_AUTO_TEST_CASE(A_hot_request_is_served_through_many_crashes_of_a_request_that_is_sent_again)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random { seed };
        Fleet fleet;
        int crashes = 0;
        for (int i = 0; i < 50; ++i) {
            for (std::size_t node = 0; node < nodes; ++node)
                fleet.answer(node, hot);
            const auto node = random() % nodes;
            const Fingerprint bystander = 100 + random() % 50;
            std::vector<Fingerprint> running { killer, hot };
            // An admitting node does not run one suspect beside another.
            if (!fleet.quarantines[node].isSuspect(bystander))
                running.push_back(bystander);
            if (!fleet.refusedAnywhere(killer)) {
                fleet.crash(node, running);
                ++crashes;
            }
            BOOST_REQUIRE_MESSAGE(!fleet.refusedAnywhere(hot), "seed " << seed);
            fleet.wait(std::chrono::milliseconds { 100 + random() % 1000 });
        }
        BOOST_TEST(crashes <= 2, "seed " << seed << ": " << crashes << " crashes");
    }
}

BOOST_AUTO_TEST_SUITE_END()

}
