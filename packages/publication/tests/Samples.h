#pragma once

/// \file
/// Objects, keys and records that the tests of this package share.

#include "carobpath/publication/Record.h"

#include <string>

namespace carobpath::publication::samples {

inline const MemberName petra { "petra" };
inline const MemberName akwapim { "akwapim" };

inline KeyPair keyOf(char digit)
{
    return KeyPair::fromHex(std::string(64, digit)).value();
}

inline KeyPair petraKey() { return keyOf('1'); }
inline KeyPair akwapimKey() { return keyOf('2'); }
inline KeyPair fleetKey() { return keyOf('3'); }

inline TrustedKeys trustedKeys()
{
    TrustedKeys keys;
    keys.addMember(petra, petraKey().publicKey());
    keys.addMember(akwapim, akwapimKey().publicKey());
    keys.addFleet(fleetKey().publicKey());
    return keys;
}

inline Service service(const std::string& name, const std::string& version, const MemberName& member = petra)
{
    return { ServiceName { name }, member, VersionName { version }, { name + ".example" } };
}

inline Version version(const std::string& name, const std::string& service, const MemberName& member = petra)
{
    return { VersionName { name }, member, ServiceName { service } };
}

inline Route route(const std::string& name, const std::string& service, const std::string& prefix, const MemberName& member = petra)
{
    Route it;
    it.name = RouteName { name };
    it.member = member;
    it.service = ServiceName { service };
    it.pathPrefix = prefix;
    return it;
}

inline Move move(const std::string& name, const std::string& service, const std::string& to, const MemberName& member = petra)
{
    Move it;
    it.name = MoveName { name };
    it.member = member;
    it.service = ServiceName { service };
    it.to = VersionName { to };
    it.startAt = WallTime { std::chrono::seconds { 1000 } };
    it.deadline = WallTime { std::chrono::seconds { 1060 } };
    return it;
}

/// A service "booking" with version "booking-1" and one route.
inline std::vector<Change> bookingChanges()
{
    return {
        PutVersion { version("booking-1", "booking") },
        PutService { service("booking", "booking-1") },
        PutRoute { route("booking-all", "booking", "/") },
    };
}

inline RecordId recordId(std::uint64_t sequence, const std::string& writer = "operator")
{
    return { writer, { 1 }, sequence };
}

inline PublishRecord publishRecord(std::uint64_t sequence, Offset base, std::vector<Change> changes)
{
    return sign(PublishRecord { recordId(sequence), petra, base, std::move(changes), {} }, petraKey());
}

inline PublishRecord akwapimRecord(std::uint64_t sequence, Offset base, std::vector<Change> changes)
{
    return sign(PublishRecord { recordId(sequence, "rival"), akwapim, base, std::move(changes), {} }, akwapimKey());
}

inline VerdictRecord verdictRecord(const std::string& move, Offset publishedAt, MoveOutcome outcome, const std::string& node = "node-1")
{
    MoveVerdict verdict;
    verdict.outcome = outcome;
    verdict.reason = outcome == MoveOutcome::TakenBack ? MoveReason::ErrorRate : MoveReason::None;
    return sign(VerdictRecord { recordId(1, node), NodeName { node }, MoveName { move }, publishedAt, verdict, {} }, fleetKey());
}

}
