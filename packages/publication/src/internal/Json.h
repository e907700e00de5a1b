#pragma once

/// \file
/// JSON representations of the published types. Reading tolerates extra keys and other number types: every decoder compares
/// the text with the canonical encoding of the value that was read, and thereby rejects all of them.

#include "carobpath/foundation/Identifier.h"
#include "carobpath/publication/Codec.h"
#include "carobpath/publication/EnumText.h"
#include "carobpath/publication/Keys.h"
#include "carobpath/publication/ObjectRef.h"
#include "carobpath/publication/ReplicatedState.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>

namespace carobpath::publication::Detail {

using Json = nlohmann::json;

/// Thrown and caught only inside the codec.
struct WrongShape : std::exception {
    const char* what() const noexcept override { return "wrong shape"; }
};

/// Never throws: invalid UTF-8 is replaced, and the result is then rejected as not canonical when it is decoded.
inline std::string dumpCanonical(const Json& json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

template <typename T>
T valueOrThrow(std::optional<T> value)
{
    if (!value)
        throw WrongShape {};
    return *std::move(value);
}

/// Parses a T and rejects every text that is not its canonical encoding.
template <typename T>
Result<T> decodeCanonical(std::string_view text, std::size_t maxBytes)
{
    if (text.size() > maxBytes)
        return boost::leaf::new_error(CodecError { CodecFault::TooLarge });
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded())
        return boost::leaf::new_error(CodecError { CodecFault::NotJson });
    try {
        T value = json.get<T>();
        if (dumpCanonical(Json(value)) != text)
            return boost::leaf::new_error(CodecError { CodecFault::NotCanonical });
        return value;
    } catch (const std::exception&) {
        return boost::leaf::new_error(CodecError { CodecFault::WrongShape });
    }
}

}

namespace carobpath::publication::Detail {

/// Converts an enum to and from its text.
template <typename Enum, auto fromText>
struct EnumSerializer {
    static void to_json(nlohmann::json& out, Enum it) { out = toString(it); }
    static void from_json(const nlohmann::json& in, Enum& it) { it = valueOrThrow(fromText(in.get_ref<const std::string&>())); }
};

}

template <>
struct nlohmann::adl_serializer<carobpath::publication::Repeatability>
    : carobpath::publication::Detail::EnumSerializer<carobpath::publication::Repeatability, &carobpath::publication::repeatabilityFromString> {
};

template <>
struct nlohmann::adl_serializer<carobpath::publication::TrafficClass>
    : carobpath::publication::Detail::EnumSerializer<carobpath::publication::TrafficClass, &carobpath::publication::trafficClassFromString> {
};

template <>
struct nlohmann::adl_serializer<carobpath::publication::ThinEvidencePolicy>
    : carobpath::publication::Detail::EnumSerializer<carobpath::publication::ThinEvidencePolicy, &carobpath::publication::thinEvidencePolicyFromString> {
};

template <>
struct nlohmann::adl_serializer<carobpath::publication::MoveOutcome>
    : carobpath::publication::Detail::EnumSerializer<carobpath::publication::MoveOutcome, &carobpath::publication::moveOutcomeFromString> {
};

template <>
struct nlohmann::adl_serializer<carobpath::publication::MoveReason>
    : carobpath::publication::Detail::EnumSerializer<carobpath::publication::MoveReason, &carobpath::publication::moveReasonFromString> {
};

template <>
struct nlohmann::adl_serializer<carobpath::publication::ObjectKind>
    : carobpath::publication::Detail::EnumSerializer<carobpath::publication::ObjectKind, &carobpath::publication::objectKindFromString> {
};

template <typename Tag>
struct nlohmann::adl_serializer<carobpath::Identifier<Tag>> {
    static void to_json(json& out, const carobpath::Identifier<Tag>& it) { out = it.value(); }
    static void from_json(const json& in, carobpath::Identifier<Tag>& it) { it = carobpath::Identifier<Tag> { in.get<std::string>() }; }
};

template <>
struct nlohmann::adl_serializer<std::chrono::milliseconds> {
    static void to_json(json& out, const std::chrono::milliseconds& it) { out = it.count(); }
    static void from_json(const json& in, std::chrono::milliseconds& it) { it = std::chrono::milliseconds { in.get<std::int64_t>() }; }
};

template <>
struct nlohmann::adl_serializer<carobpath::WallTime> {
    static void to_json(json& out, const carobpath::WallTime& it) { out = it.time_since_epoch(); }
    static void from_json(const json& in, carobpath::WallTime& it) { it = carobpath::WallTime { in.get<std::chrono::milliseconds>() }; }
};

namespace carobpath {

inline void to_json(nlohmann::json& out, const Digest& it) { out = toHex(it); }
inline void from_json(const nlohmann::json& in, Digest& it)
{
    it = publication::Detail::valueOrThrow(digestFromHex(in.get<std::string>()));
}

inline void to_json(nlohmann::json& out, const Incarnation& it) { out = it.value; }
inline void from_json(const nlohmann::json& in, Incarnation& it) { it.value = in.get<std::uint64_t>(); }

}

namespace carobpath::publication {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Destination, service, weight)

// Optional keys are omitted if they have their default value, so that sets published before a key existed keep their digest.
void to_json(nlohmann::json&, const Service&);
void from_json(const nlohmann::json&, Service&);
void to_json(nlohmann::json&, const Route&);
void from_json(const nlohmann::json&, Route&);

void to_json(nlohmann::json&, const Workspace&);
void from_json(const nlohmann::json&, Workspace&);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RateLimit, milliCallsPerSecond, burst)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Version, name, member, service)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Move, name, member, service, to, startAt, deadline, onThinEvidence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MoveVerdict, outcome, reason, route, evidence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceEntry, service, currentVersion, changedAt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RouteEntry, route, changedAt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VersionEntry, version, changedAt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkspaceEntry, workspace, changedAt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigurationStamp, offset, digest)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ObjectRef, kind, name)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RecordId, writer, incarnation, sequence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RememberedRecord, member, id, at, accepted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RememberedDeletion, object, at)

void to_json(nlohmann::json&, const MoveEntry&);
void from_json(const nlohmann::json&, MoveEntry&);
void to_json(nlohmann::json&, const ConfigurationSet&);
void from_json(const nlohmann::json&, ConfigurationSet&);

void to_json(nlohmann::json&, const ReplicatedState&);
void from_json(const nlohmann::json&, ReplicatedState&);

inline void to_json(nlohmann::json& out, const Signature& it) { out = toHex(it); }
void from_json(const nlohmann::json&, Signature&);

}
