#include "FakeFleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <iostream>

/// Property tests over generated evidence, with a fixed seed.
namespace carobpath::moves {

using namespace std::chrono_literals;

namespace {

    constexpr std::uint64_t seed = 20261203;
    constexpr auto length = 160s;
    const MoveId move { MoveName { "to-2" }, 5 };
    const VersionName newVersion { "booking-2" };
    const VersionName oldVersion { "booking-1" };

    template <typename Property>
    bool holds(Property&& property)
    {
        rc::detail::TestParams params;
        params.seed = seed;
        const auto result = rc::detail::checkTestable(std::forward<Property>(property), rc::detail::TestMetadata {}, params);
        std::cout << "seed " << seed << ": ";
        rc::detail::printResultMessage(result, std::cout);
        std::cout << std::endl;
        return result.template is<rc::detail::SuccessResult>();
    }

    int integerBelow(int end)
    {
        return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
    }

    /// An entry of one of three observers. Its counts grow with the revision, as those of a real observer do.
    EvidenceEntry arbitraryEntry()
    {
        EvidenceEntry it;
        const auto sequence = 1 + static_cast<std::uint64_t>(integerBelow(5));
        it.observer = NodeName { "n" + std::to_string(integerBelow(3)) };
        it.revision = { { 1 + static_cast<std::uint64_t>(integerBelow(3)) }, sequence };
        it.move = move.name;
        it.movePublishedAt = move.publishedAt;
        it.route = RouteName { "book" };
        it.version = integerBelow(2) == 0 ? oldVersion : newVersion;
        it.window = MovePlan::evidenceWindow(static_cast<std::uint32_t>(integerBelow(4)), false);
        it.counts.succeeded = sequence * (10 + it.revision.incarnation.value);
        it.counts.failed = it.version == newVersion ? sequence / 4 : 0;
        return it;
    }

    EvidenceUpdate arbitraryUpdate()
    {
        EvidenceUpdate it;
        for (auto n = integerBelow(12); n > 0; --n)
            it.entries.push_back(arbitraryEntry());
        return it;
    }

    std::vector<EvidenceEntry> mergedEntries(const std::vector<EvidenceUpdate>& updates)
    {
        EvidenceTable it(NodeName { "reader" }, { 1 });
        it.retain({ move }, 5);
        for (const auto& update : updates)
            it.merge(update);
        EvidenceCursor cursor;
        return it.changedSince(cursor).entries;
    }

    /// A faulty merge for comparison: the last arrival wins.
    std::map<std::pair<NodeName, std::uint32_t>, std::uint64_t> lastArrivals(const std::vector<EvidenceUpdate>& updates)
    {
        std::map<std::pair<NodeName, std::uint32_t>, std::uint64_t> result;
        for (const auto& update : updates) {
            for (const auto& it : update.entries)
                result[{ it.observer, it.window }] = it.counts.succeeded;
        }
        return result;
    }

    EvidenceUpdate asUpdate(std::vector<EvidenceEntry> entries)
    {
        return { std::move(entries), {} };
    }

    /// An assessor with random evidence in the windows up to the given one.
    MoveAssessor arbitraryAssessor(std::uint32_t lastWindow, publication::ThinEvidencePolicy policy)
    {
        MoveAssessor assessor(FakeFleet::entry(length, policy));
        for (std::uint32_t w = 0; w <= lastWindow; ++w) {
            for (const auto& version : { oldVersion, newVersion }) {
                EvidenceGrowth it { move, RouteName { "book" }, version, MovePlan::evidenceWindow(w, integerBelow(4) == 0), {}, {} };
                it.counts.succeeded = static_cast<std::uint64_t>(integerBelow(60));
                it.counts.failed = static_cast<std::uint64_t>(integerBelow(4) == 0 ? integerBelow(6) : 0);
                it.counts.latency.at(static_cast<std::size_t>(integerBelow(8))) = it.counts.succeeded;
                assessor.add(it);
            }
        }
        return assessor;
    }

}

BOOST_AUTO_TEST_SUITE(Properties)

BOOST_AUTO_TEST_CASE(Merging_is_commutative_associative_and_idempotent_and_keeping_the_last_arrival_is_not)
{
    BOOST_TEST(holds([] {
        const auto a = arbitraryUpdate();
        const auto b = arbitraryUpdate();
        const auto c = arbitraryUpdate();
        const auto all = mergedEntries({ a, b, c });
        RC_ASSERT(mergedEntries({ c, b, a }) == all);
        RC_ASSERT(mergedEntries({ a, b, b, c, a }) == all);
        RC_ASSERT(mergedEntries({ asUpdate(mergedEntries({ a, b })), c }) == all);
        RC_ASSERT(mergedEntries({ a, asUpdate(mergedEntries({ b, c })) }) == all);
    }));
    BOOST_TEST(!holds([] {
        const auto a = arbitraryUpdate();
        const auto b = arbitraryUpdate();
        RC_ASSERT(lastArrivals({ a, b }) == lastArrivals({ b, a }));
    }));
}

BOOST_AUTO_TEST_CASE(The_share_does_not_decrease_over_time_without_new_evidence)
{
    BOOST_TEST(holds([] {
        const auto policy = integerBelow(2) == 0 ? publication::ThinEvidencePolicy::Finish : publication::ThinEvidencePolicy::TakeBack;
        const auto lastWindow = static_cast<std::uint32_t>(integerBelow(12));
        const auto assessor = arbitraryAssessor(lastWindow, policy);
        double share = 0;
        for (auto t = assessor.plan().windowStart(lastWindow); t < assessor.plan().verdictDueAt(); t += 500ms) {
            const auto it = assessor.assess(t);
            RC_ASSERT(it.share >= share);
            share = it.share;
        }
    }));
}

BOOST_AUTO_TEST_CASE(The_share_depends_neither_on_the_order_of_evidence_nor_on_earlier_assessments)
{
    BOOST_TEST(holds([] {
        std::vector<EvidenceUpdate> updates { arbitraryUpdate(), arbitraryUpdate(), arbitraryUpdate(), arbitraryUpdate() };
        const auto now = FakeFleet::at(1s * integerBelow(160));
        std::vector<double> shares;
        for (int order = 0; order < 2; ++order) {
            MoveAssessor assessor(FakeFleet::entry(length, publication::ThinEvidencePolicy::TakeBack));
            EvidenceTable table(NodeName { "reader" }, { 1 });
            table.retain({ move }, 5);
            for (const auto& update : updates) {
                for (const auto& growth : table.merge(update))
                    assessor.add(growth);
                // Intermediate assessments must not affect the result.
                if (order == 1)
                    assessor.assess(now.wall);
            }
            shares.push_back(assessor.assess(now.wall).share);
            std::reverse(updates.begin(), updates.end());
        }
        RC_ASSERT(shares[0] == shares[1]);
    }));
}

BOOST_AUTO_TEST_CASE(A_move_that_was_taken_back_never_gets_a_call_again_regardless_of_new_evidence)
{
    BOOST_TEST(holds([] {
        MoveEngine engine(NodeName { "reader" }, { 1 }, std::mt19937_64 { seed });
        auto version = std::make_shared<publication::ConfigurationVersion>();
        const auto entry = FakeFleet::entry(length, publication::ThinEvidencePolicy::Finish);
        version->stamp.offset = 5;
        version->set.services[entry.move.service] = { { entry.move.service, entry.move.member, oldVersion, {} }, oldVersion, 1 };
        version->set.moves[entry.move.name] = entry;
        engine.onConfiguration(version, FakeFleet::at(0ms));
        const auto noticeAt = integerBelow(20);
        for (int i = 0; i < 20; ++i) {
            const auto now = FakeFleet::at(8s * i);
            auto update = arbitraryUpdate();
            if (i == noticeAt)
                update.notices.push_back({ move.name, move.publishedAt, NodeName { "n1" }, { publication::MoveOutcome::TakenBack, publication::MoveReason::ErrorRate, {}, {} } });
            engine.merge(update, now);
            for (const auto& command : engine.tick(now)) {
                if (const auto* append = std::get_if<AppendVerdict>(&command))
                    RC_ASSERT(i < noticeAt || append->verdict.outcome == publication::MoveOutcome::TakenBack);
            }
            RC_ASSERT(i < noticeAt || engine.trafficSplit(entry.move.service, now).nextShare == 0.0);
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()

}
