#include "carobpath/distribution/ConfigurationReplica.h"
#include "carobpath/distribution/PendingDeltas.h"
#include "carobpath/publication/Codec.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace carobpath::distribution {

namespace {

    using publication::Offset;
    using DeltaPointer = std::shared_ptr<const Delta>;

    /// Versions of a set in which each changes the service that \c changedBy names.
    struct Versions {
        std::vector<publication::ConfigurationPointer> all;

        explicit Versions(const std::vector<std::string>& changedBy)
        {
            publication::ConfigurationSet set;
            for (Offset offset = 0; offset < changedBy.size(); ++offset) {
                publication::ServiceEntry entry;
                entry.service.name = ServiceName { changedBy[offset] };
                entry.changedAt = offset;
                set.services.insert_or_assign(entry.service.name, entry);
                auto version = std::make_shared<publication::ConfigurationVersion>();
                version->set = set;
                version->stamp = { offset, publication::digestOfSet(set) };
                all.push_back(std::move(version));
            }
        }

        DeltaPointer delta(Offset base, Offset result) const { return std::make_shared<const Delta>(deltaBetween(*all[base], *all[result])); }

        ConfigurationReplica replicaAt(Offset offset) const
        {
            ConfigurationReplica it { publication::digestOfSet };
            it.adoptFromLog(all[offset]);
            return it;
        }
    };

    std::vector<Offset> resultsOf(const std::vector<DeltaPointer>& deltas)
    {
        std::vector<Offset> results(deltas.size());
        std::transform(deltas.begin(), deltas.end(), results.begin(), [](const auto& it) { return it->result.offset; });
        return results;
    }

    const Versions versions { { "booking", "catalog", "reports", "catalog", "invoices" } };

}

BOOST_AUTO_TEST_SUITE(Deltas_that_wait)

BOOST_AUTO_TEST_CASE(They_are_taken_in_order_up_to_the_first_that_is_missing)
{
    PendingDeltas pending;
    pending.add(versions.delta(3, 4));
    pending.add(versions.delta(1, 2));
    pending.add(versions.delta(0, 1));
    BOOST_TEST((resultsOf(pending.takeFrom(0)) == std::vector<Offset> { 1, 2 }));
    BOOST_TEST(pending.takeFrom(2).empty());
    pending.add(versions.delta(2, 3));
    BOOST_TEST((resultsOf(pending.takeFrom(2)) == std::vector<Offset> { 3, 4 }));
}

BOOST_AUTO_TEST_CASE(Those_up_to_the_version_that_is_held_are_dropped)
{
    PendingDeltas pending;
    pending.add(versions.delta(0, 1));
    pending.add(versions.delta(0, 3));
    BOOST_TEST(pending.takeFrom(3).empty());
    BOOST_TEST(pending.takeFrom(0).empty());
}

BOOST_AUTO_TEST_CASE(Each_result_is_seen_for_the_first_time_once)
{
    PendingDeltas pending;
    BOOST_TEST(pending.markSeen(versions.all[1]->stamp));
    BOOST_TEST(!pending.markSeen(versions.all[1]->stamp));
    BOOST_TEST(pending.markSeen(versions.all[2]->stamp));
}

BOOST_AUTO_TEST_CASE(A_delta_from_an_older_base_leads_to_the_same_set)
{
    auto replica = versions.replicaAt(1);
    BOOST_TEST((replica.applyDeltas({ versions.delta(0, 2), versions.delta(1, 4) }) == Adoption::Adopted));
    BOOST_TEST((replica.current()->set == versions.all[4]->set));
}

BOOST_AUTO_TEST_CASE(A_change_that_a_delta_does_not_hold_is_found_by_the_digest)
{
    // It lacks the changes of versions 2 and 3.
    auto replica = versions.replicaAt(1);
    auto incomplete = *versions.delta(3, 4);
    incomplete.base = versions.all[1]->stamp;
    BOOST_TEST((replica.applyDeltas({ std::make_shared<const Delta>(incomplete) }) == Adoption::DigestMismatch));
    BOOST_TEST(replica.stamp()->offset == 1U);
}

BOOST_AUTO_TEST_CASE(A_base_that_is_newer_than_the_version_held_changes_nothing)
{
    auto replica = versions.replicaAt(0);
    BOOST_TEST((replica.applyDeltas({ versions.delta(0, 1), versions.delta(2, 3) }) == Adoption::BaseMismatch));
    BOOST_TEST(replica.stamp()->offset == 0U);
}

BOOST_AUTO_TEST_CASE(Deltas_to_an_older_version_change_nothing)
{
    auto replica = versions.replicaAt(4);
    BOOST_TEST((replica.applyDeltas({ versions.delta(0, 3) }) == Adoption::Older));
    BOOST_TEST(replica.stamp()->offset == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

}
