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
        { "repeated", version(5), Adoption::AlreadyHeld },
        { "older", version(4), Adoption::Older },
        { "same offset, other set", version(5, "reports"), Adoption::Conflict },
        { "newer with a wrong digest", withWrongDigest(6), Adoption::DigestMismatch },
        { "older with a wrong digest", withWrongDigest(4), Adoption::Older },
    };

}

BOOST_AUTO_TEST_SUITE(ConfigurationReplicas)

BOOST_AUTO_TEST_CASE(Only_a_newer_whole_set_with_its_digest_is_taken)
{
    for (const auto& it : offers) {
        BOOST_TEST_CONTEXT(it.name)
        {
            ConfigurationReplica keeper(publication::digestOfSet);
            keeper.adoptFolded(version(5));
            BOOST_TEST((keeper.adoptWhole(it.offered) == it.expected));
            BOOST_TEST(keeper.stamp()->offset == (it.expected == Adoption::Adopted ? 6U : 5U));
        }
    }
}

BOOST_AUTO_TEST_CASE(A_delta_is_taken_only_on_its_base)
{
    ConfigurationReplica source(publication::digestOfSet);
    source.adoptFolded(version(1));
    source.adoptFolded(version(2));
    const auto delta = source.deltaFrom(version(1)->stamp);
    BOOST_REQUIRE(delta);

    ConfigurationReplica empty(publication::digestOfSet);
    BOOST_TEST((empty.applyDelta(*delta) == Adoption::BaseMismatch));
    ConfigurationReplica onBase(publication::digestOfSet);
    onBase.adoptFolded(version(1));
    BOOST_TEST((onBase.applyDelta(*delta) == Adoption::Adopted));
    BOOST_TEST((onBase.applyDelta(*delta) == Adoption::AlreadyHeld));
    ConfigurationReplica other(publication::digestOfSet);
    other.adoptFolded(version(0));
    BOOST_TEST((other.applyDelta(*delta) == Adoption::BaseMismatch));
    BOOST_TEST(other.stamp()->offset == 0U);
}

BOOST_AUTO_TEST_CASE(Deltas_are_made_from_a_bounded_number_of_earlier_versions)
{
    ConfigurationReplica keeper(publication::digestOfSet);
    for (publication::Offset i = 0; i <= ConfigurationReplica::s_history + 1; ++i)
        keeper.adoptFolded(version(i));
    BOOST_TEST(!keeper.deltaFrom(version(0)->stamp));
    BOOST_TEST((keeper.deltaFrom(version(1)->stamp) != nullptr));
}

namespace {

    const NodeName ownA { "own-a" };
    const NodeName ownB { "own-b" };
    const NodeName otherA { "other-a" };
    const NodeName otherB { "other-b" };

    struct GateCase {
        const char* name;
        std::vector<NodeName> heard;
        std::vector<NodeName> failed;
        bool confirmed;
    };

    const GateCase gateCases[] = {
        { "nobody answered", {}, {}, false },
        { "one of each", { ownA, otherA }, {}, true },
        { "only the own failure domain answered yet", { ownA, ownB }, {}, false },
        { "only others answered yet", { otherA, otherB }, {}, false },
        { "cut off: all others failed", { ownA, ownB }, { otherA, otherB }, true },
        { "the own failure domain ended as a whole", { otherA, otherB }, { ownA, ownB }, true },
        { "one answer, and the others might answer still", { ownA }, { otherA, otherB }, false },
        { "one answer, and all others failed", { ownA }, { ownB, otherA, otherB }, true },
        { "all failed", {}, { ownA, ownB, otherA, otherB }, false },
    };

}

BOOST_AUTO_TEST_CASE(The_floor_is_known_once_witnesses_of_both_kinds_answered_or_cannot)
{
    for (const auto& it : gateCases) {
        BOOST_TEST_CONTEXT(it.name)
        {
            VersionFloorGate gate;
            for (const auto& name : it.heard)
                gate.onHeard(name, std::nullopt);
            for (const auto& name : it.failed)
                gate.onFailed(name);
            gate.update({ ownA, ownB }, { otherA, otherB });
            BOOST_TEST(gate.confirmed() == it.confirmed);
        }
    }
}

BOOST_AUTO_TEST_CASE(The_gate_opens_once_the_highest_floor_that_was_heard_is_reached)
{
    VersionFloorGate gate;
    gate.onHeard(ownA, version(7)->stamp);
    gate.onHeard(otherA, version(3)->stamp);
    gate.update({ ownA }, { otherA });
    BOOST_TEST(!gate.passes(std::nullopt));
    BOOST_TEST(!gate.passes(version(6)->stamp));
    BOOST_TEST(gate.passes(version(7)->stamp));
}

BOOST_AUTO_TEST_CASE(The_floor_of_an_address_never_sinks)
{
    VersionFloorTable memory;
    const Endpoint address { "10.0.0.1", 7 };
    memory.record(address, version(7)->stamp);
    memory.record(address, version(3)->stamp);
    BOOST_TEST(memory.floorOf(address)->offset == 7U);
    BOOST_TEST(!memory.floorOf({ "10.0.0.1", 8 }));
}

BOOST_AUTO_TEST_SUITE_END()

}
