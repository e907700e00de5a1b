#include "carobpath/routing/CrashQuarantine.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <string>

namespace carobpath::routing::tests {

namespace {

    using namespace std::chrono_literals;

    constexpr Fingerprint culprit = 1;
    constexpr Fingerprint hot = 2;
    constexpr Fingerprint first = 3;
    constexpr Fingerprint second = 4;
    constexpr std::size_t nodes = 3;

    /// A few nodes that receive each other's reports at once.
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
            gossip();
        }
        void answer(std::size_t node, Fingerprint it)
        {
            quarantines[node].onAnswered(it, now);
            gossip();
        }
        void gossip()
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

    struct AttributionRow {
        const char* name;
        std::vector<FleetEvent> events;
        std::vector<Fingerprint> refused;
        std::vector<Fingerprint> served;
    };

    const std::vector<AttributionRow>& attributionRows()
    {
        static const std::vector<AttributionRow> rows {
            { "one crash gives no culprit", { { Event::Crash, 0, { culprit } } }, {}, { culprit } },
            { "two crashes alone", { { Event::Crash, 0, { culprit } }, { Event::Crash, 1, { culprit } } }, { culprit }, {} },
            { "two crashes of one server", { { Event::Crash, 0, { culprit } }, { Event::Crash, 0, { culprit } } },
                { culprit }, {} },
            { "different bystanders each time",
                { { Event::Crash, 0, { culprit, first } }, { Event::Crash, 1, { culprit, second } } }, { culprit },
                { first, second } },
            { "the same pair twice cannot be distinguished",
                { { Event::Crash, 0, { culprit, first } }, { Event::Crash, 1, { culprit, first } } }, {},
                { culprit, first } },
            { "the same pair twice, then one of them without the other",
                { { Event::Crash, 0, { culprit, first } }, { Event::Crash, 1, { culprit, first } },
                    { Event::Crash, 2, { culprit, second } } },
                { culprit }, { first, second } },
            { "the same pair twice, one of them answered meanwhile",
                { { Event::Crash, 0, { culprit, first } }, { Event::Answer, 2, { first } },
                    { Event::Crash, 1, { culprit, first } } },
                { culprit }, { first } },
            { "a hot request in flight at both crashes, answered by another node just before",
                { { Event::Answer, 2, { hot } }, { Event::Crash, 0, { culprit, hot } },
                    { Event::Crash, 1, { culprit, hot } } },
                { culprit }, { hot } },
            { "a hot request in flight at crashes of two culprits",
                { { Event::Answer, 2, { hot } }, { Event::Crash, 0, { culprit, hot } }, { Event::Answer, 2, { hot } },
                    { Event::Crash, 1, { first, hot } } },
                {}, { culprit, first, hot } },
            { "a bystander of a known culprit's crashes",
                { { Event::Crash, 0, { culprit } }, { Event::Crash, 1, { culprit } },
                    { Event::Crash, 2, { culprit, first } }, { Event::Crash, 0, { culprit, first } } },
                { culprit }, { first } },
            { "two culprits, each twice",
                { { Event::Crash, 0, { culprit, first } }, { Event::Crash, 1, { culprit, second } },
                    { Event::Crash, 2, { hot, first } }, { Event::Crash, 0, { hot, second } } },
                { culprit, hot }, { first, second } },
            { "crashes too far apart",
                { { Event::Crash, 0, { culprit } }, { Event::Wait, 16, {} }, { Event::Crash, 1, { culprit } } }, {},
                { culprit } },
            { "the quarantine ends", { { Event::Crash, 0, { culprit } }, { Event::Crash, 1, { culprit } }, { Event::Wait, 5, {} } },
                {}, { culprit } },
            { "one more crash after the quarantine",
                { { Event::Crash, 0, { culprit } }, { Event::Crash, 1, { culprit } }, { Event::Wait, 6, {} },
                    { Event::Crash, 2, { culprit } } },
                { culprit }, {} },
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

    /// Counts the crashes during which a request was in flight, regardless of the other requests in flight.
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

BOOST_AUTO_TEST_CASE(The_request_that_alone_explains_two_crashes_is_quarantined)
{
    for (const auto& row : attributionRows()) {
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

BOOST_AUTO_TEST_CASE(A_plain_count_of_crashes_would_quarantine_bystanders)
{
    int quarantined = 0;
    for (const auto& row : attributionRows()) {
        PlainCrashCount count;
        for (const auto& it : row.events) {
            if (it.event == Event::Crash)
                count.onCrash(it.requests);
        }
        for (const auto it : row.served)
            quarantined += it != culprit && count.isRefused(it) ? 1 : 0;
    }
    BOOST_TEST(quarantined > 0);
}

BOOST_AUTO_TEST_CASE(Reports_may_arrive_in_any_order_and_any_number_of_times)
{
    Fleet source;
    source.answer(2, hot);
    source.crash(0, { culprit, hot });
    source.wait(1s);
    source.crash(1, { culprit, hot });
    const auto all = source.quarantines[2].snapshot();

    CrashQuarantine late { NodeName { "late" }, Incarnation { 1 } };
    CrashUpdate reversed { { all.reports.rbegin(), all.reports.rend() }, {} };
    for (int i = 0; i < 3; ++i)
        late.merge(reversed, source.now);
    late.merge(all, source.now);
    BOOST_TEST(late.refusedFor(culprit, source.now.monotonic).has_value());
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

BOOST_AUTO_TEST_CASE(A_frequent_request_is_served_while_another_request_crashes_servers_repeatedly)
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
            std::vector<Fingerprint> running { culprit, hot };
            // An admitting node does not run two suspects at the same time.
            if (!fleet.quarantines[node].isSuspect(bystander))
                running.push_back(bystander);
            if (!fleet.refusedAnywhere(culprit)) {
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
