#include "carobpath/membership/MembershipTable.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace carobpath::membership {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

    constexpr std::size_t budget = 65536;

    NodeEntry entry(const std::string& name, std::uint64_t incarnation = 1, std::uint64_t sequence = 0)
    {
        NodeEntry it;
        it.name = NodeName { name };
        it.domain = FailureDomainName { "amman-a" };
        it.revision = { Incarnation { incarnation }, sequence };
        it.addresses.peer = { "10.0.0.1", 7 };
        it.upstream = Upstream { ServiceName { "booking" }, VersionName { "booking-1" }, 6, 130, UpstreamState::Ready, 0, 0 };
        return it;
    }

    struct TableFixture {
        MembershipTable table { entry("self", 5), MonotonicTime {} };
        MonotonicTime now {};

        MergeResult merge(const NodeEntry& it, bool dead = false) { return table.merge({ { { it, dead } }, {} }, now); }
        MergeResult suspect(const std::string& subject, const std::string& observer, Revision revision = { Incarnation { 1 }, 0 })
        {
            return table.merge({ {}, { { NodeName { subject }, revision, NodeName { observer } } } }, now);
        }
        std::size_t deathsAfter(std::chrono::milliseconds time)
        {
            now += time;
            return table.tick(now).size();
        }
        const NodeRecord& stored(const std::string& name) { return *table.find(NodeName { name }); }
    };

    struct MergeCase {
        const char* name;
        Revision stored;
        bool storedDead;
        Revision offered;
        bool offeredDead;
        bool taken;
    };

    const Revision first { Incarnation { 1 }, 9 };
    const Revision later { Incarnation { 1 }, 10 };
    const Revision nextIncarnation { Incarnation { 2 }, 0 };

    const MergeCase mergeCases[] = {
        { "repeated", first, false, first, false, false },
        { "later sequence", first, false, later, false, true },
        { "delayed earlier sequence", later, false, first, false, false },
        { "delayed earlier incarnation", nextIncarnation, false, later, false, false },
        { "next incarnation", later, false, nextIncarnation, false, true },
        { "death of the same revision", first, false, first, true, true },
        { "alive record of the same revision after its death", first, true, first, false, false },
        { "refutation", first, true, later, false, true },
        { "delayed death of an earlier revision", later, false, first, true, false },
        { "delayed death of an earlier incarnation", nextIncarnation, false, later, true, false },
    };

}

BOOST_FIXTURE_TEST_SUITE(MembershipTables, TableFixture)

BOOST_AUTO_TEST_CASE(Merging_keeps_the_newer_record)
{
    for (const auto& it : mergeCases) {
        BOOST_TEST_CONTEXT(it.name)
        {
            MembershipTable fresh(entry("self", 5), now);
            fresh.merge({ { { entry("a", it.stored.incarnation.value, it.stored.sequence), it.storedDead } }, {} }, now);
            const auto result = fresh.merge({ { { entry("a", it.offered.incarnation.value, it.offered.sequence), it.offeredDead } }, {} }, now);

            const Revision& expected = it.taken ? it.offered : it.stored;
            BOOST_TEST((result.newRecords == 1) == it.taken);
            BOOST_TEST((fresh.find(NodeName { "a" })->entry.revision == expected));
        }
    }
}

BOOST_AUTO_TEST_CASE(A_single_observer_cannot_declare_a_node_dead)
{
    merge(entry("a"));
    merge(entry("b"));
    merge(entry("c"));
    table.onGossipFailed(NodeName { "a" }, now);
    BOOST_TEST((table.view()->nodes[0].liveness == Liveness::Suspect));
    BOOST_TEST(deathsAfter(seconds { 10 }) == 0U);
    // Counter-check: with a second observer, the node is declared dead after the same wait.
    suspect("a", "b");
    BOOST_TEST(deathsAfter(SuspicionTable::s_deadAfter) == 1U);
    BOOST_TEST(stored("a").dead);
}

BOOST_AUTO_TEST_CASE(A_repeated_suspicion_of_one_observer_counts_once)
{
    for (const char* it : { "a", "b", "c" })
        merge(entry(it));
    suspect("a", "b");
    suspect("a", "b");
    BOOST_TEST(deathsAfter(seconds { 10 }) == 0U);
}

BOOST_AUTO_TEST_CASE(A_newer_revision_refutes_the_suspicion)
{
    for (const char* it : { "a", "b", "c" })
        merge(entry(it));
    suspect("a", "b");
    suspect("a", "c");
    BOOST_TEST(deathsAfter(seconds { 3 }) == 0U);
    merge(entry("a", 1, 1));
    BOOST_TEST(deathsAfter(seconds { 10 }) == 0U);
    BOOST_TEST((table.view()->nodes[0].liveness == Liveness::Alive));
    // Delayed suspicions of the earlier revision are ignored.
    suspect("a", "b");
    suspect("a", "c");
    BOOST_TEST(deathsAfter(seconds { 10 }) == 0U);
}

BOOST_AUTO_TEST_CASE(A_suspicion_that_is_not_renewed_expires)
{
    merge(entry("a"));
    merge(entry("b"));
    suspect("a", "b");
    BOOST_TEST(deathsAfter(SuspicionTable::s_lifetime) == 0U);
    BOOST_TEST((table.view()->nodes[0].liveness == Liveness::Alive));
}

BOOST_AUTO_TEST_CASE(A_node_that_is_reported_suspect_or_dead_creates_a_newer_revision)
{
    suspect("self", "a", { Incarnation { 5 }, 0 });
    BOOST_TEST(table.self().revision.sequence == 1U);
    merge(entry("self", 5, 1), true);
    BOOST_TEST(table.self().revision.sequence == 2U);
    merge(entry("self", 5, 1), true);
    BOOST_TEST(table.self().revision.sequence == 2U);
}

BOOST_AUTO_TEST_CASE(A_process_replaced_at_another_address_is_superseded)
{
    auto replacement = entry("self", 6);
    replacement.addresses.peer = { "10.0.0.2", 7 };
    merge(replacement);
    BOOST_TEST(table.superseded());
}

BOOST_AUTO_TEST_CASE(A_process_whose_clock_stepped_back_adopts_a_later_incarnation)
{
    merge(entry("self", 9));
    BOOST_TEST(!table.superseded());
    BOOST_TEST(table.self().revision.incarnation.value == 10U);
}

BOOST_AUTO_TEST_CASE(Consecutive_failed_calls_raise_a_suspicion_and_a_successful_one_withdraws_it)
{
    merge(entry("a"));
    const NodeName node { "a" };
    BOOST_TEST(!table.onCallFailed(node, now));
    table.onCallSucceeded(node);
    BOOST_TEST(!table.onCallFailed(node, now));
    BOOST_TEST(!table.onCallFailed(node, now));
    BOOST_TEST(table.onCallFailed(node, now));
    table.onCallSucceeded(node);
    BOOST_TEST((table.view()->nodes[0].liveness == Liveness::Alive));
}

BOOST_AUTO_TEST_CASE(A_tombstone_rejects_older_entries_until_it_expires)
{
    auto leaving = entry("a", 1, 4);
    leaving.leaving = true;
    merge(leaving);
    BOOST_TEST(table.livePeers() == 0U);
    BOOST_TEST(merge(entry("a", 1, 3)).newRecords == 0U);
    deathsAfter(MembershipTable::s_tombstoneLifetime / 2);
    BOOST_TEST(table.allRecords().size() == 1U);
    BOOST_TEST(merge(entry("a", 1, 3)).newRecords == 0U);
    deathsAfter(MembershipTable::s_tombstoneLifetime / 2);
    BOOST_TEST(!table.find(NodeName { "a" }));
}

BOOST_AUTO_TEST_CASE(Tables_with_the_same_records_have_the_same_digest_in_any_order)
{
    MembershipTable other(entry("self", 5), now);
    for (const char* it : { "a", "b", "c" })
        merge(entry(it));
    for (const char* it : { "c", "a", "b" })
        other.merge({ { { entry(it), false } }, {} }, now);
    BOOST_TEST(table.digest().combined() == other.digest().combined());
    merge(entry("b", 1, 1));
    BOOST_TEST(table.digest().combined() != other.digest().combined());

    const auto buckets = table.digest().differing(other.digest().buckets());
    const auto lacking = table.recordsMissingFrom(other.summaryOf(buckets, false), budget);
    BOOST_REQUIRE(lacking.size() == 1U);
    BOOST_TEST(lacking[0].entry.name.value() == "b");
    other.merge({ lacking, {} }, now);
    BOOST_TEST(table.digest().combined() == other.digest().combined());
    BOOST_TEST(table.digest().differing(other.digest().buckets()) == 0U);
}

BOOST_AUTO_TEST_CASE(The_table_is_bounded_and_evicts_tombstones_to_make_room)
{
    for (std::size_t i = 0; i + 1 < MembershipTable::s_maxNodes; ++i)
        merge(entry("n" + std::to_string(i)));
    BOOST_TEST(merge(entry("late")).newRecords == 0U);
    auto leaving = entry("n7", 1, 1);
    leaving.leaving = true;
    merge(leaving);
    BOOST_TEST(merge(entry("late")).newRecords == 1U);
    BOOST_TEST(!table.find(NodeName { "n7" }));
}

BOOST_AUTO_TEST_CASE(A_change_of_load_alone_is_published_rarely_and_a_change_of_state_at_once)
{
    Upstream upstream = *entry("self").upstream;
    upstream.waiting = 3;
    BOOST_TEST(!table.setUpstream(upstream, now));
    now += MembershipTable::s_loadHintInterval;
    BOOST_TEST(table.setUpstream(upstream, now));
    upstream.waiting = 0;
    BOOST_TEST(!table.setUpstream(upstream, now));
    upstream.state = UpstreamState::Draining;
    BOOST_TEST(table.setUpstream(upstream, now));
}

BOOST_AUTO_TEST_CASE(The_view_is_the_same_pointer_until_something_changes)
{
    merge(entry("a"));
    const auto view = table.view();
    merge(entry("a"));
    BOOST_TEST((table.view() == view));
    merge(entry("a", 1, 1));
    BOOST_TEST((table.view() != view));
}

BOOST_AUTO_TEST_CASE(Updates_are_sent_a_limited_number_of_times_within_the_budget)
{
    for (int i = 0; i < 50; ++i)
        merge(entry("n" + std::to_string(i)));
    const auto some = table.takeUpdates(4096);
    BOOST_TEST(some.records.size() > 5U);
    BOOST_TEST(some.records.size() < 50U);
    for (int i = 0; i < 100; ++i)
        table.takeUpdates(4096);
    BOOST_TEST(table.takeUpdates(4096).empty());
}

BOOST_AUTO_TEST_CASE(Updates_that_change_constantly_are_all_sent_eventually)
{
    constexpr int keys = 8;
    GossipQueue<int, int> queue(keys);
    std::set<int> sent;
    for (int round = 0; round < keys; ++round) {
        for (int key = 0; key < keys; ++key)
            queue.put(key, key);
        for (const int it : queue.take(1, 4, [](int) { return std::size_t { 1 }; }))
            sent.insert(it);
    }
    BOOST_TEST(sent.size() == static_cast<std::size_t>(keys));
}

BOOST_AUTO_TEST_SUITE_END()

}
