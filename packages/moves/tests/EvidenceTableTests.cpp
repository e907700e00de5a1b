#include "carobpath/moves/EvidenceTable.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::moves {

using namespace std::chrono_literals;

namespace {

    const MoveId move { MoveName { "m" }, 5 };
    const RouteName book { "book" };
    const VersionName version { "v2" };
    constexpr MonotonicTime start { 1h };

    EvidenceCounts succeeded(std::uint64_t n)
    {
        EvidenceCounts it;
        it.succeeded = n;
        return it;
    }

    EvidenceCounts failed(std::uint64_t n)
    {
        EvidenceCounts it;
        it.failed = n;
        return it;
    }

    EvidenceTable makeTable(const char* node, std::uint64_t incarnation)
    {
        EvidenceTable it(NodeName { node }, { incarnation });
        it.retain({ move }, 5);
        return it;
    }

    std::uint64_t totalCalls(const EvidenceTable& it)
    {
        std::uint64_t n = 0;
        for (const auto& growth : it.total(move))
            n += growth.counts.answered();
        return n;
    }

    EvidenceUpdate allChanges(const EvidenceTable& it)
    {
        EvidenceCursor cursor;
        return it.changedSince(cursor);
    }

}

BOOST_AUTO_TEST_SUITE(EvidenceTables)

BOOST_AUTO_TEST_CASE(Local_counts_get_a_revision_once_a_second_and_sooner_if_calls_failed)
{
    auto it = makeTable("n1", 1);
    it.observe(move, book, version, 0, succeeded(1), start);
    BOOST_TEST(it.publishLocal(start).size() == 1U);
    it.observe(move, book, version, 0, succeeded(1), start);
    BOOST_TEST(it.publishLocal(start + 900ms).empty());
    BOOST_TEST(it.publishLocal(start + 1s).size() == 1U);
    it.observe(move, book, version, 0, failed(1), start);
    BOOST_TEST(it.publishLocal(start + 1050ms).empty());
    BOOST_TEST(it.publishLocal(start + 1100ms).size() == 1U);
    BOOST_TEST(totalCalls(it) == 3U);
}

BOOST_AUTO_TEST_CASE(The_calls_of_a_restarted_observer_are_neither_counted_twice_nor_lost)
{
    auto first = makeTable("n1", 1);
    first.observe(move, book, version, 0, succeeded(100), start);
    first.publishLocal(start);
    auto second = makeTable("n1", 2);
    second.observe(move, book, version, 0, succeeded(7), start);
    second.publishLocal(start);
    const std::vector<EvidenceUpdate> arrivals { allChanges(first), allChanges(second), allChanges(first), allChanges(second) };
    auto peer = makeTable("n2", 1);
    for (const auto& update : arrivals)
        peer.merge(update);
    BOOST_TEST(totalCalls(peer) == 107U);
    // The observer receives the evidence of its earlier incarnation from its peer, and stores both.
    second.merge(allChanges(peer));
    BOOST_TEST(totalCalls(second) == 107U);

    // The naive sum of all arrivals counts calls twice, and the newest entry alone loses those of the first incarnation.
    std::uint64_t naiveSum = 0;
    std::uint64_t newestOnly = 0;
    for (const auto& update : arrivals) {
        naiveSum += update.entries.front().counts.answered();
        newestOnly = update.entries.front().counts.answered();
    }
    BOOST_TEST(naiveSum == 214U);
    BOOST_TEST(newestOnly == 7U);
}

BOOST_AUTO_TEST_CASE(An_older_revision_changes_nothing)
{
    auto source = makeTable("n1", 1);
    source.observe(move, book, version, 0, succeeded(1), start);
    source.publishLocal(start);
    const auto older = allChanges(source);
    source.observe(move, book, version, 0, succeeded(4), start);
    source.publishLocal(start + 2s);
    auto peer = makeTable("n2", 1);
    peer.merge(allChanges(source));
    BOOST_TEST(peer.merge(older).empty());
    BOOST_TEST(totalCalls(peer) == 5U);
}

BOOST_AUTO_TEST_CASE(A_cursor_returns_each_change_once_and_starts_over_for_another_incarnation)
{
    auto it = makeTable("n1", 1);
    it.observe(move, book, version, 0, succeeded(1), start);
    it.publishLocal(start);
    EvidenceCursor cursor;
    BOOST_TEST(it.changedSince(cursor).entries.size() == 1U);
    BOOST_TEST(it.changedSince(cursor).entries.empty());
    it.addNotice({ move.name, move.publishedAt, NodeName { "n1" }, {} });
    BOOST_TEST(it.changedSince(cursor).notices.size() == 1U);
    cursor.incarnation = Incarnation { 99 };
    BOOST_TEST(it.changedSince(cursor).entries.size() == 1U);
}

BOOST_AUTO_TEST_CASE(A_large_change_is_split_into_bounded_updates_without_loss)
{
    auto it = makeTable("n1", 1);
    const auto routes = EvidenceTable::s_maxEntriesPerUpdate + 100;
    for (std::size_t i = 0; i < routes; ++i)
        it.observe(move, RouteName { "r" + std::to_string(i) }, version, 0, succeeded(1), start);
    it.publishLocal(start);
    auto peer = makeTable("n2", 1);
    EvidenceCursor cursor;
    for (auto update = it.changedSince(cursor); !update.entries.empty(); update = it.changedSince(cursor)) {
        BOOST_TEST(update.entries.size() <= EvidenceTable::s_maxEntriesPerUpdate);
        peer.merge(update);
    }
    BOOST_TEST(totalCalls(peer) == routes);
}

BOOST_AUTO_TEST_CASE(Evidence_of_an_unknown_move_is_stored_and_that_of_an_ended_move_is_dropped)
{
    auto source = makeTable("n1", 1);
    source.observe(move, book, version, 0, succeeded(3), start);
    source.publishLocal(start);
    EvidenceTable peer(NodeName { "n2" }, { 1 });
    peer.retain({}, 4);
    peer.merge(allChanges(source));
    peer.retain({ move }, 5);
    BOOST_TEST(totalCalls(peer) == 3U);
    peer.retain({}, 6);
    BOOST_TEST(totalCalls(peer) == 0U);
    peer.merge(allChanges(source));
    BOOST_TEST(totalCalls(peer) == 0U);
}

BOOST_AUTO_TEST_CASE(Local_evidence_of_a_window_is_sent_again_on_request_and_counts_once)
{
    auto source = makeTable("n1", 1);
    auto peer = makeTable("n2", 1);
    source.observe(move, book, version, 0, succeeded(3), start);
    source.observe(move, book, version, 2, succeeded(4), start);
    source.publishLocal(start);
    EvidenceCursor cursor;
    peer.merge(source.changedSince(cursor));
    source.repeat(move, version, 2);
    source.publishLocal(start + 100ms);
    const auto repeated = source.changedSince(cursor);
    BOOST_REQUIRE(repeated.entries.size() == 1U);
    BOOST_TEST(repeated.entries.front().window == 2U);
    peer.merge(repeated);
    BOOST_TEST(totalCalls(source) == 7U);
    BOOST_TEST(totalCalls(peer) == 7U);
}

BOOST_AUTO_TEST_CASE(The_number_of_stored_incarnations_of_an_observer_is_bounded)
{
    auto peer = makeTable("n2", 1);
    for (std::uint64_t i = 1; i <= 10; ++i) {
        auto it = makeTable("n1", i);
        it.observe(move, book, version, 0, succeeded(1), start);
        it.publishLocal(start);
        peer.merge(allChanges(it));
    }
    BOOST_TEST(totalCalls(peer) == EvidenceTable::s_maxIncarnations);
}

BOOST_AUTO_TEST_SUITE_END()

}
