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

    EvidenceTable bookOf(const char* node, std::uint64_t incarnation)
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

    EvidenceUpdate everythingOf(const EvidenceTable& it)
    {
        EvidenceCursor cursor;
        return it.changedSince(cursor);
    }

}

BOOST_AUTO_TEST_SUITE(Book)

BOOST_AUTO_TEST_CASE(Own_counts_get_a_revision_once_a_second_and_sooner_where_calls_failed)
{
    auto it = bookOf("n1", 1);
    it.observe(move, book, version, 0, succeeded(1), start);
    BOOST_TEST(it.publishOwn(start).size() == 1U);
    it.observe(move, book, version, 0, succeeded(1), start);
    BOOST_TEST(it.publishOwn(start + 900ms).empty());
    BOOST_TEST(it.publishOwn(start + 1s).size() == 1U);
    it.observe(move, book, version, 0, failed(1), start);
    BOOST_TEST(it.publishOwn(start + 1050ms).empty());
    BOOST_TEST(it.publishOwn(start + 1100ms).size() == 1U);
    BOOST_TEST(totalCalls(it) == 3U);
}

BOOST_AUTO_TEST_CASE(An_observer_that_restarts_is_counted_neither_twice_nor_away)
{
    auto first = bookOf("n1", 1);
    first.observe(move, book, version, 0, succeeded(100), start);
    first.publishOwn(start);
    auto second = bookOf("n1", 2);
    second.observe(move, book, version, 0, succeeded(7), start);
    second.publishOwn(start);
    const std::vector<EvidenceUpdate> arrivals { everythingOf(first), everythingOf(second), everythingOf(first), everythingOf(second) };
    auto peer = bookOf("n2", 1);
    for (const auto& update : arrivals)
        peer.merge(update);
    BOOST_TEST(totalCalls(peer) == 107U);
    // It hears of its own earlier life from its peer, and keeps both.
    second.merge(everythingOf(peer));
    BOOST_TEST(totalCalls(second) == 107U);

    // The naive sum of what arrives counts twice, and the newest entry alone forgets the first life.
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
    auto source = bookOf("n1", 1);
    source.observe(move, book, version, 0, succeeded(1), start);
    source.publishOwn(start);
    const auto older = everythingOf(source);
    source.observe(move, book, version, 0, succeeded(4), start);
    source.publishOwn(start + 2s);
    auto peer = bookOf("n2", 1);
    peer.merge(everythingOf(source));
    BOOST_TEST(peer.merge(older).empty());
    BOOST_TEST(totalCalls(peer) == 5U);
}

BOOST_AUTO_TEST_CASE(A_cursor_gives_each_change_once_and_one_of_another_incarnation_starts_over)
{
    auto it = bookOf("n1", 1);
    it.observe(move, book, version, 0, succeeded(1), start);
    it.publishOwn(start);
    EvidenceCursor cursor;
    BOOST_TEST(it.changedSince(cursor).entries.size() == 1U);
    BOOST_TEST(it.changedSince(cursor).entries.empty());
    it.addNotice({ move.name, move.publishedAt, NodeName { "n1" }, {} });
    BOOST_TEST(it.changedSince(cursor).notices.size() == 1U);
    cursor.book = Incarnation { 99 };
    BOOST_TEST(it.changedSince(cursor).entries.size() == 1U);
}

BOOST_AUTO_TEST_CASE(A_large_change_comes_in_bounded_updates_that_lose_nothing)
{
    auto it = bookOf("n1", 1);
    const auto routes = EvidenceTable::s_entriesPerUpdate + 100;
    for (std::size_t i = 0; i < routes; ++i)
        it.observe(move, RouteName { "r" + std::to_string(i) }, version, 0, succeeded(1), start);
    it.publishOwn(start);
    auto peer = bookOf("n2", 1);
    EvidenceCursor cursor;
    for (auto update = it.changedSince(cursor); !update.entries.empty(); update = it.changedSince(cursor)) {
        BOOST_TEST(update.entries.size() <= EvidenceTable::s_entriesPerUpdate);
        peer.merge(update);
    }
    BOOST_TEST(totalCalls(peer) == routes);
}

BOOST_AUTO_TEST_CASE(Evidence_of_a_move_not_known_yet_is_kept_and_that_of_an_ended_one_dropped)
{
    auto source = bookOf("n1", 1);
    source.observe(move, book, version, 0, succeeded(3), start);
    source.publishOwn(start);
    EvidenceTable peer(NodeName { "n2" }, { 1 });
    peer.retain({}, 4);
    peer.merge(everythingOf(source));
    peer.retain({ move }, 5);
    BOOST_TEST(totalCalls(peer) == 3U);
    peer.retain({}, 6);
    BOOST_TEST(totalCalls(peer) == 0U);
    peer.merge(everythingOf(source));
    BOOST_TEST(totalCalls(peer) == 0U);
}

BOOST_AUTO_TEST_CASE(The_incarnations_kept_of_one_observer_are_bounded)
{
    auto peer = bookOf("n2", 1);
    for (std::uint64_t i = 1; i <= 10; ++i) {
        auto it = bookOf("n1", i);
        it.observe(move, book, version, 0, succeeded(1), start);
        it.publishOwn(start);
        peer.merge(everythingOf(it));
    }
    BOOST_TEST(totalCalls(peer) == EvidenceTable::s_incarnationsKept);
}

BOOST_AUTO_TEST_SUITE_END()

}
