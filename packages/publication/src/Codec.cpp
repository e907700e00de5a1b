#include "carobpath/publication/Codec.h"

#include "carobpath/foundation/EnumTable.h"
#include "carobpath/foundation/Hex.h"
#include "carobpath/publication/Bounds.h"
#include "internal/Json.h"

namespace carobpath::publication {

namespace {

    constexpr std::array<EnumRow<CodecFault>, 4> codecFaults { {
        { CodecFault::NotJson, "not-json" },
        { CodecFault::WrongShape, "wrong-shape" },
        { CodecFault::NotCanonical, "not-canonical" },
        { CodecFault::TooLarge, "too-large" },
    } };

    template <typename Map>
    nlohmann::json entriesOf(const Map& map)
    {
        auto entries = nlohmann::json::array();
        for (const auto& [name, entry] : map)
            entries.push_back(entry);
        return entries;
    }

    const ServiceName& nameOf(const ServiceEntry& it) { return it.service.name; }
    const RouteName& nameOf(const RouteEntry& it) { return it.route.name; }
    const VersionName& nameOf(const VersionEntry& it) { return it.version.name; }
    const MoveName& nameOf(const MoveEntry& it) { return it.move.name; }
    const WorkspaceName& nameOf(const WorkspaceEntry& it) { return it.workspace.name; }

    /// Adds one key of an object, with a value that is encoded already.
    void appendMember(std::string& out, std::string_view key, std::string_view encoded)
    {
        out += out.empty() ? '{' : ',';
        out += '"';
        out += key;
        out += "\":";
        out += encoded;
    }

    std::string listOf(const std::vector<std::string_view>& encoded)
    {
        std::string list = "[";
        for (const auto it : encoded) {
            list += list.size() > 1 ? "," : "";
            list += it;
        }
        return list + "]";
    }

    template <typename Map>
    std::string encodeEntries(const Map& map)
    {
        return Detail::dumpCanonical(entriesOf(map));
    }

    template <typename Map>
    void readEntries(const nlohmann::json& in, Map& map)
    {
        for (const auto& it : in) {
            auto entry = it.get<typename Map::mapped_type>();
            const auto name = nameOf(entry);
            map.insert_or_assign(name, std::move(entry));
        }
    }

}

std::string_view toString(CodecFault it) { return enumText(codecFaults, it); }

namespace {

    /// Writes the value unless it is the default.
    template <typename T>
    void writeOptional(nlohmann::json& out, const char* key, const T& value)
    {
        if (value != T {})
            out[key] = value;
    }

    template <typename T>
    void readOptional(const nlohmann::json& in, const char* key, T& value)
    {
        if (const auto it = in.find(key); it != in.end())
            it->get_to(value);
    }

}

void to_json(nlohmann::json& out, const Service& it)
{
    out = { { "name", it.name }, { "member", it.member }, { "initialVersion", it.initialVersion }, { "hosts", it.hosts } };
    writeOptional(out, "connections", it.connections);
}

void from_json(const nlohmann::json& in, Service& it)
{
    in.at("name").get_to(it.name);
    in.at("member").get_to(it.member);
    in.at("initialVersion").get_to(it.initialVersion);
    in.at("hosts").get_to(it.hosts);
    readOptional(in, "connections", it.connections);
}

void to_json(nlohmann::json& out, const Route& it)
{
    out = { { "name", it.name }, { "member", it.member }, { "service", it.service }, { "pathPrefix", it.pathPrefix },
        { "methods", it.methods }, { "repeatability", it.repeatability }, { "trafficClass", it.trafficClass }, { "timeout", it.timeout } };
    writeOptional(out, "hosts", it.hosts);
    writeOptional(out, "destinations", it.destinations);
    writeOptional(out, "maxAttempts", it.maxAttempts);
    writeOptional(out, "objective", it.objective);
    writeOptional(out, "priority", it.priority);
    writeOptional(out, "allowsAnonymous", it.allowsAnonymous);
}

void from_json(const nlohmann::json& in, Route& it)
{
    in.at("name").get_to(it.name);
    in.at("member").get_to(it.member);
    in.at("service").get_to(it.service);
    in.at("pathPrefix").get_to(it.pathPrefix);
    in.at("methods").get_to(it.methods);
    in.at("repeatability").get_to(it.repeatability);
    in.at("trafficClass").get_to(it.trafficClass);
    in.at("timeout").get_to(it.timeout);
    readOptional(in, "hosts", it.hosts);
    readOptional(in, "destinations", it.destinations);
    readOptional(in, "maxAttempts", it.maxAttempts);
    readOptional(in, "objective", it.objective);
    readOptional(in, "priority", it.priority);
    readOptional(in, "allowsAnonymous", it.allowsAnonymous);
}

void to_json(nlohmann::json& out, const Workspace& it)
{
    out = { { "name", it.name }, { "keys", it.keys } };
    if (it.limit)
        out["limit"] = *it.limit;
    writeOptional(out, "priority", it.priority);
}

void from_json(const nlohmann::json& in, Workspace& it)
{
    in.at("name").get_to(it.name);
    in.at("keys").get_to(it.keys);
    if (in.contains("limit"))
        it.limit = in.at("limit").get<RateLimit>();
    readOptional(in, "priority", it.priority);
}

void to_json(nlohmann::json& out, const MoveEntry& it)
{
    out = { { "move", it.move }, { "from", it.from }, { "publishedAt", it.publishedAt }, { "changedAt", it.changedAt } };
    if (it.verdict)
        out["verdict"] = *it.verdict;
}

void from_json(const nlohmann::json& in, MoveEntry& it)
{
    in.at("move").get_to(it.move);
    in.at("from").get_to(it.from);
    in.at("publishedAt").get_to(it.publishedAt);
    in.at("changedAt").get_to(it.changedAt);
    if (in.contains("verdict"))
        it.verdict = in.at("verdict").get<MoveVerdict>();
}

void to_json(nlohmann::json& out, const ConfigurationSet& it)
{
    out = nlohmann::json::object();
    out["services"] = entriesOf(it.services);
    out["routes"] = entriesOf(it.routes);
    out["versions"] = entriesOf(it.versions);
    out["moves"] = entriesOf(it.moves);
    if (!it.workspaces.empty())
        out["workspaces"] = entriesOf(it.workspaces);
}

void from_json(const nlohmann::json& in, ConfigurationSet& it)
{
    readEntries(in.at("services"), it.services);
    readEntries(in.at("routes"), it.routes);
    readEntries(in.at("versions"), it.versions);
    readEntries(in.at("moves"), it.moves);
    if (const auto workspaces = in.find("workspaces"); workspaces != in.end())
        readEntries(*workspaces, it.workspaces);
}

void to_json(nlohmann::json& out, const ReplicatedState& it)
{
    out = { { "set", it.set }, { "next", it.next }, { "records", it.records }, { "deletions", it.deletions }, { "forgottenBefore", it.forgottenBefore } };
    if (it.stamp)
        out["stamp"] = *it.stamp;
}

void from_json(const nlohmann::json& in, ReplicatedState& it)
{
    in.at("set").get_to(it.set);
    in.at("next").get_to(it.next);
    in.at("records").get_to(it.records);
    in.at("deletions").get_to(it.deletions);
    in.at("forgottenBefore").get_to(it.forgottenBefore);
    if (in.contains("stamp"))
        it.stamp = in.at("stamp").get<ConfigurationStamp>();
}

void from_json(const nlohmann::json& in, Signature& it)
{
    it.bytes = Detail::valueOrThrow(bytesFromHex<Signature::s_size>(in.get_ref<const std::string&>()));
}

template <Encodable T>
std::string encode(const T& value)
{
    return Detail::dumpCanonical(nlohmann::json(value));
}

template <Encodable T>
Result<T> decode(std::string_view text)
{
    return Detail::decodeCanonical<T>(text, bounds::checkpointBytes);
}

#define CAROBPATH_INSTANTIATE_CODEC(Type)           \
    template std::string encode<Type>(const Type&); \
    template Result<Type> decode<Type>(std::string_view);

CAROBPATH_INSTANTIATE_CODEC(Service)
CAROBPATH_INSTANTIATE_CODEC(Route)
CAROBPATH_INSTANTIATE_CODEC(Version)
CAROBPATH_INSTANTIATE_CODEC(Move)
CAROBPATH_INSTANTIATE_CODEC(MoveVerdict)
CAROBPATH_INSTANTIATE_CODEC(ServiceEntry)
CAROBPATH_INSTANTIATE_CODEC(RouteEntry)
CAROBPATH_INSTANTIATE_CODEC(VersionEntry)
CAROBPATH_INSTANTIATE_CODEC(MoveEntry)
CAROBPATH_INSTANTIATE_CODEC(WorkspaceEntry)
CAROBPATH_INSTANTIATE_CODEC(ConfigurationStamp)
CAROBPATH_INSTANTIATE_CODEC(ConfigurationSet)
#undef CAROBPATH_INSTANTIATE_CODEC

Digest digestOfSet(const ConfigurationSet& set)
{
    return digestOf(encode(set));
}

Digest digestWithEncodedRoutes(const ConfigurationSet& set, const std::vector<std::string_view>& encodedRoutes)
{
    std::string text;
    appendMember(text, "moves", encodeEntries(set.moves));
    appendMember(text, "routes", listOf(encodedRoutes));
    appendMember(text, "services", encodeEntries(set.services));
    appendMember(text, "versions", encodeEntries(set.versions));
    if (!set.workspaces.empty())
        appendMember(text, "workspaces", encodeEntries(set.workspaces));
    return digestOf(text + "}");
}

}
