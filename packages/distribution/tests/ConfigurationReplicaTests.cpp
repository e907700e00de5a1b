#include "carobpath/distribution/ConfigurationReplica.h"
#include "carobpath/distribution/VersionFloorGate.h"
#include "carobpath/distribution/VersionFloorTable.h"

#include "carobpath/publication/Codec.h"

#include <boost/test/unit_test.hpp>

namespace carobpath::distribution {

namespace {

    publication::ConfigurationPointer version(publication::Offset offset, const std::string& service = "booking")
    {
        auto made = std::make_shared<publication::ConfigurationVersion>();
        publication::ServiceEntry entry;
        entry.service.name = ServiceName { service };
        entry.changedAt = offset;
        made->set.services.emplace(entry.service.name, entry);
        made->stamp = { offset, publication::digestOfSet(made->set) };
        return made;
    }

    publication::ConfigurationPointer withWrongDigest(publication::Offset offset)
    {
        auto made = std::make_shared<publication::ConfigurationVersion>(*version(offset));
        made->stamp.digest.bytes[0] ^= 1;
        return made;
    }

    struct OfferCase {
        const char* name;
        publication::ConfigurationPointer offered;
        Adoption expected;
    };

    const OfferCase offers[] = {
        { "newer", version(6), Adoption::Adopted },
        { "repeated", version(5), Adoption::AlreadyCurrent },
        { "older", version(4), Adoption::Older },
        { "same offset, other set", version(5, "reports"), Adoption::Conflict },
        { "newer with a wrong digest", withWrongDigest(6), Adoption::DigestMismatch },
        { "older with a wrong digest", withWrongDigest(4), Adoption::Older },
    };

}

BOOST_AUTO_TEST_SUITE(ConfigurationReplicas)

BOOST_AUTO_TEST_CASE(Only_a_newer_full_set_with_a_matching_digest_is_adopted)
{
    for (const auto& it : offers) {
        BOOST_TEST_CONTEXT(it.name)
        {
            ConfigurationReplica replica(publication::digestOfSet);
            replica.adoptFromLog(version(5));
            BOOST_TEST((replica.adoptFullSet(it.offered) == it.expected));
            BOOST_TEST(replica.stamp()->offset == (it.expected == Adoption::Adopted ? 6U : 5U));
        }
    }
}

BOOST_AUTO_TEST_CASE(A_delta_is_applied_only_to_its_base)
{
    ConfigurationReplica source(publication::digestOfSet);
    source.adoptFromLog(version(1));
    source.adoptFromLog(version(2));
    const auto delta = source.deltaFrom(version(1)->stamp);
    BOOST_REQUIRE(delta);

    ConfigurationReplica empty(publication::digestOfSet);
    BOOST_TEST((empty.applyDelta(*delta) == Adoption::BaseMismatch));
    ConfigurationReplica onBase(publication::digestOfSet);
    onBase.adoptFromLog(version(1));
    BOOST_TEST((onBase.applyDelta(*delta) == Adoption::Adopted));
    BOOST_TEST((onBase.applyDelta(*delta) == Adoption::AlreadyCurrent));
    ConfigurationReplica other(publication::digestOfSet);
    other.adoptFromLog(version(0));
    BOOST_TEST((other.applyDelta(*delta) == Adoption::BaseMismatch));
    BOOST_TEST(other.stamp()->offset == 0U);
}

BOOST_AUTO_TEST_CASE(Deltas_are_computed_from_a_bounded_number_of_earlier_versions)
{
    ConfigurationReplica replica(publication::digestOfSet);
    for (publication::Offset i = 0; i <= ConfigurationReplica::s_history + 1; ++i)
        replica.adoptFromLog(version(i));
    BOOST_TEST(!replica.deltaFrom(version(0)->stamp));
    BOOST_TEST((replica.deltaFrom(version(1)->stamp) != nullptr));
}

namespace {

    const NodeName localA { "own-a" };
    const NodeName localB { "own-b" };
    const NodeName remoteA { "other-a" };
    const NodeName remoteB { "other-b" };

    struct GateCase {
        const char* name;
        std::vector<NodeName> heard;
        std::vector<NodeName> failed;
        bool confirmed;
    };

    const GateCase gateCases[] = {
        { "nobody answered", {}, {}, false },
        { "one answer of each kind", { localA, remoteA }, {}, true },
        { "only the local failure domain has answered", { localA, localB }, {}, false },
        { "only remote failure domains have answered", { remoteA, remoteB }, {}, false },
        { "partitioned: all remote witnesses failed", { localA, localB }, { remoteA, remoteB }, true },
        { "the whole local failure domain failed", { remoteA, remoteB }, { localA, localB }, true },
        { "one answer, and another witness may still answer", { localA }, { remoteA, remoteB }, false },
        { "one answer, and all others failed", { localA }, { localB, remoteA, remoteB }, true },
        { "all failed", {}, { localA, localB, remoteA, remoteB }, false },
    };

}

BOOST_AUTO_TEST_CASE(The_version_floor_is_known_once_local_and_remote_witnesses_answered_or_failed)
{
    for (const auto& it : gateCases) {
        BOOST_TEST_CONTEXT(it.name)
        {
            VersionFloorGate gate;
            for (const auto& name : it.heard)
                gate.onAnswer(name, std::nullopt);
            for (const auto& name : it.failed)
                gate.onFailed(name);
            gate.update({ localA, localB }, { remoteA, remoteB });
            BOOST_TEST(gate.confirmed() == it.confirmed);
        }
    }
}

BOOST_AUTO_TEST_CASE(The_gate_opens_once_the_highest_reported_version_floor_is_reached)
{
    VersionFloorGate gate;
    gate.onAnswer(localA, version(7)->stamp);
    gate.onAnswer(remoteA, version(3)->stamp);
    gate.update({ localA }, { remoteA });
    BOOST_TEST(!gate.passes(std::nullopt));
    BOOST_TEST(!gate.passes(version(6)->stamp));
    BOOST_TEST(gate.passes(version(7)->stamp));
}

BOOST_AUTO_TEST_CASE(The_version_floor_of_an_address_never_decreases)
{
    VersionFloorTable table;
    const Endpoint address { "10.0.0.1", 7 };
    table.record(address, version(7)->stamp);
    table.record(address, version(3)->stamp);
    BOOST_TEST(table.floorOf(address)->offset == 7U);
    BOOST_TEST(!table.floorOf({ "10.0.0.1", 8 }));
}

BOOST_AUTO_TEST_SUITE_END()

}
