#include "carobpath/foundation/NodeSettings.h"

#include "internal/NamedSetting.h"

#include <array>

namespace carobpath {

namespace {

    using namespace std::chrono_literals;
    using Reader = SettingsReader<NodeSettings>;

    constexpr Bounds<std::size_t> oneToEight { 1, 8 };
    constexpr Bounds<std::size_t> anySeeds { 0, 64 };
    constexpr std::uint64_t kibibyte = 1 << 10;
    constexpr std::uint64_t mebibyte = 1 << 20;

    void declareIdentity(Reader& it)
    {
        it.required(
            "node.name", Detail::identifierSetting<NodeName>(), [](auto& s) -> auto& { return s.name; },
            "Name of the node, unique in the fleet.");
        it.required(
            "node.region", Detail::identifierSetting<RegionName>(), [](auto& s) -> auto& { return s.region; },
            "Region that the instance runs in.");
        it.required(
            "node.failure-domain", Detail::identifierSetting<FailureDomainName>(), [](auto& s) -> auto& { return s.failureDomain; },
            "Failure domain that the instance runs in.");
    }

    void declareListeners(Reader& it)
    {
        it.withDefault(
            "listen.callers", endpointSetting(), "0.0.0.0:8000", [](auto& s) -> auto& { return s.listen.callers; },
            "Address for callers. Port 0 takes any free port.");
        it.required(
            "listen.calls", endpointSetting(), [](auto& s) -> auto& { return s.listen.calls; },
            "Address for calls that other nodes forward; they are told this one.");
        it.required(
            "listen.peer", endpointSetting(), [](auto& s) -> auto& { return s.listen.peer; },
            "Address for the exchange between nodes; they are told this one.");
        it.withDefault(
            "listen.admin", endpointSetting(), "127.0.0.1:8003", [](auto& s) -> auto& { return s.listen.admin; },
            "Address for operators, metrics and the backend server beside the node.");
        it.optional(
            "listen.readiness", endpointSetting(), [](auto& s) -> auto& { return s.listen.readiness.emplace(); },
            "Address where readiness is asked for, where it is apart from the admin address.");
        it.optional(
            "listen.announcements", endpointSetting(), [](auto& s) -> auto& { return s.listen.announcements.emplace(); },
            "Address where the backend server announces itself, where it is apart from the admin address.");
    }

    void declarePlatform(Reader& it)
    {
        it.withDefault(
            "platform", platformKindSetting(), "own", [](auto& s) -> auto& { return s.platform; },
            "Whose names and calls the node speaks towards callers, backend servers and the log.");
        it.optional(
            "backend.service", Detail::identifierSetting<ServiceName>(), [](auto& s) -> auto& { return s.backend.service; },
            "Service of the backend server beside the node; announcements of another are refused.");
        it.optional(
            "backend.address", endpointSetting(), [](auto& s) -> auto& { return s.backend.address.emplace(); },
            "Address of the backend server beside the node; announcements of another are refused.");
    }

    void declareRetries(Reader& it)
    {
        it.withDefault(
            "retries.part-of-calls", decimalSetting(0, 1), "0.2", [](auto& s) -> auto& { return s.retries.partOfCalls; },
            "Part of a service's calls that all nodes together may send again.");
        it.withDefault(
            "retries.slack", decimalSetting(0, 1'000'000), "200", [](auto& s) -> auto& { return s.retries.slack; },
            "Calls that all nodes together may send again in one window besides.");
        it.withDefault(
            "retries.window", durationSetting(1s, 1h), "10s", [](auto& s) -> auto& { return s.retries.window; },
            "Window over which calls that are sent again are counted.");
    }

    void declareExposure(Reader& it)
    {
        it.withDefault(
            "exposure.part", decimalSetting(0, 1), "0.1", [](auto& s) -> auto& { return s.exposure.part; },
            "Part of a service's calls that an ordered version may get before it is known as good.");
        it.withDefault(
            "exposure.slack", decimalSetting(0, 1'000'000), "50", [](auto& s) -> auto& { return s.exposure.slack; },
            "Calls that it may get besides.");
    }

    void declareQuota(Reader& it)
    {
        it.withDefault(
            "quota.window", durationSetting(1s, 1h), "5s", [](auto& s) -> auto& { return s.quota.window; },
            "Window over which the calls of a workspace with a rate limit are counted.");
        it.withDefault(
            "quota.overage", decimalSetting(0, 1), "0.1", [](auto& s) -> auto& { return s.quota.overage; },
            "Part of its limit by which the calls of a workspace may exceed it in a window.");
        it.withDefault(
            "quota.slack", decimalSetting(0, 1'000'000), "20", [](auto& s) -> auto& { return s.quota.slack; },
            "Calls by which a workspace may exceed its limit in a window besides.");
    }

    void declareBalancing(Reader& it)
    {
        it.withDefault(
            "balancing.speed-memory", durationSetting(0s, 1h), "0s", [](auto& s) -> auto& { return s.balancing.speedMemory; },
            "Half-life of what nodes learn of the speeds of backend servers. 0s where these differ little: the last answers count.");
    }

    void declareLog(Reader& it)
    {
        it.list(
            "log.endpoints", endpointSetting(), oneToEight, [](auto& s) -> auto& { return s.log.endpoints; },
            "Addresses of the platform's log, tried in turn.");
        it.withDefault(
            "log.stream", nameSetting(), "configuration", [](auto& s) -> auto& { return s.log.stream; },
            "Stream of published records.");
        it.withDefault(
            "log.retention", durationSetting(10s, 8760h), "24h", [](auto& s) -> auto& { return s.log.retention; },
            "How long the log keeps a record; checkpoints are written well inside it.");
        it.withDefault(
            "log.read-megabytes", decimalSetting(0, 1'000'000), "0", [](auto& s) -> auto& { return s.log.readMegabytes; },
            "What the log sends to readers on all nodes together, in megabytes a second. 0 where it is not known.");
    }

    void declareTrust(Reader& it)
    {
        it.list(
            "seeds", endpointSetting(), anySeeds, [](auto& s) -> auto& { return s.seeds; },
            "Peer addresses of nodes to join by.");
        it.optional(
            "fleet-key", hexKeySetting(), [](auto& s) -> auto& { return s.fleetKey; },
            "Ed25519 private key that nodes sign verdicts and checkpoints with. Either this or fleet-key-file is required.");
        it.optional(
            "fleet-key-file", pathSetting(), [](auto& s) -> auto& { return s.fleetKeyFile; },
            "File that holds the fleet key. A relative path starts at the settings file.");
        it.list(
            "members", memberSettingsReader(), { 0, maximumMembers }, [](auto& s) -> auto& { return s.members; },
            "The members of the consortium; one at least where the platform is carobpath's own.");
    }

    void declareLimits(Reader& it)
    {
        it.withDefault(
            "limits.header-bytes", sizeSetting(kibibyte, mebibyte), "16KiB", [](auto& s) -> auto& { return s.limits.headerBytes; },
            "Size of a request's header.");
        it.withDefault(
            "limits.body-bytes", sizeSetting(0, 64 * mebibyte), "1MiB", [](auto& s) -> auto& { return s.limits.bodyBytes; },
            "Size of a request's body.");
        it.withDefault(
            "limits.held-bytes", sizeSetting(mebibyte, 64 * kibibyte * mebibyte), "96MiB", [](auto& s) -> auto& { return s.limits.heldBytes; },
            "What all requests that are read or handled hold together; beyond it, the one that stands still is refused.");
        it.withDefault(
            "limits.memory-megabytes", decimalSetting(0, 1'000'000), "0", [](auto& s) -> auto& { return s.limits.memoryMegabytes; },
            "Memory of the instance, in megabytes; requests hold half of it at the most. 0 takes what the system reports.");
        it.withDefault(
            "limits.pipelined-requests", integerSetting(1, 1'000), "16", [](auto& s) -> auto& { return s.limits.pipelinedRequests; },
            "Requests of one connection that are read before the first of them is answered.");
        it.withDefault(
            "limits.read-ahead-bytes", sizeSetting(kibibyte, 64 * mebibyte), "64KiB", [](auto& s) -> auto& { return s.limits.readAheadBytes; },
            "Bytes of one connection that are held unread behind those requests.");
        it.withDefault(
            "limits.caller-connections", integerSetting(1, 100'000), "2000", [](auto& s) -> auto& { return s.limits.callerConnections; },
            "Open connections from callers.");
        it.withDefault(
            "limits.link-megabits", decimalSetting(0, 1'000'000), "0", [](auto& s) -> auto& { return s.limits.linkMegabits; },
            "What the instance's link carries, in megabits a second; bounds the downloads at a time. 0 where it is not known.");
        it.withDefault(
            "limits.link-pacing", switchSetting(), "off", [](auto& s) -> auto& { return s.limits.linkPacing; },
            "Whether downloads take turns on the link, so that short answers pass them; needs link-megabits.");
        it.withDefault(
            "limits.inner-calls", switchSetting(), "off", [](auto& s) -> auto& { return s.limits.innerCalls; },
            "Whether calls that backend servers make while they run others go first, and bound the calls that make them.");
    }

    void declareTimeouts(Reader& it)
    {
        it.withDefault(
            "timeouts.caller-idle", durationSetting(100ms, 1h), "60s", [](auto& s) -> auto& { return s.timeouts.callerIdle; },
            "A caller's connection without a request is closed after it.");
        it.withDefault(
            "timeouts.caller-header", durationSetting(100ms, 10min), "10s", [](auto& s) -> auto& { return s.timeouts.callerHeader; },
            "A request's header and each further part of its body must arrive within it.");
        it.withDefault(
            "timeouts.connect", durationSetting(1ms, 1min), "1s", [](auto& s) -> auto& { return s.timeouts.connect; },
            "Opening a connection to a node or the backend server.");
        it.withDefault(
            "timeouts.progress", durationSetting(100ms, 10min), "10s", [](auto& s) -> auto& { return s.timeouts.progress; },
            "A connection that moves no byte within it is taken for silent.");
        it.withDefault(
            "timeouts.log", durationSetting(100ms, 5min), "5s", [](auto& s) -> auto& { return s.timeouts.log; },
            "An append to the log or a read from it, less the wait that the read asks for.");
        it.withDefault(
            "timeouts.log-wait", durationSetting(10ms, 1min), "2s", [](auto& s) -> auto& { return s.timeouts.logWait; },
            "Wait that a read asks the log for.");
    }

    // Other nodes are told these addresses, so that one which stands for all of the instance's would lead nowhere.
    void reportUnspecifiedAddresses(SettingsDocument& document, const NodeSettings& settings)
    {
        const std::array<std::pair<const char*, const Endpoint*>, 2> told { { { "listen.calls", &settings.listen.calls }, { "listen.peer", &settings.listen.peer } } };
        for (const auto& [key, endpoint] : told) {
            const SettingsValue* value = document.find(key);
            if (value && (endpoint->address == "0.0.0.0" || endpoint->address == "::"))
                document.addFault(key, value->mark, SettingsFaultKind::BadEndpoint, "must be an address that other nodes can reach");
        }
    }

    // Where members publish, their records are checked; an operator who writes to the fleet's store signs nothing.
    void reportMissingTrust(SettingsDocument& document)
    {
        if (!document.isMapping())
            return;
        if (!document.find("fleet-key") && !document.find("fleet-key-file"))
            document.addFault("fleet-key", {}, SettingsFaultKind::MissingKey, "is required, or fleet-key-file");
        const auto* members = document.find("members");
        if (!members)
            document.addFault("members", {}, SettingsFaultKind::MissingKey, "is required");
        else if (members->shape == SettingsValue::Shape::Sequence && members->size == 0)
            document.addFault("members", members->mark, SettingsFaultKind::OutOfBounds, "has 0 items, allowed are 1 to " + std::to_string(maximumMembers) + " items");
    }

    const Reader& reader()
    {
        static const auto it = [] {
            Reader made;
            declareIdentity(made);
            declareListeners(made);
            declarePlatform(made);
            declareRetries(made);
            declareExposure(made);
            declareQuota(made);
            declareBalancing(made);
            declareLog(made);
            declareTrust(made);
            declareLimits(made);
            declareTimeouts(made);
            made.withDefault(
                "drain.grace", durationSetting(0s, 1h), "30s", [](auto& s) -> auto& { return s.drain.grace; },
                "What is in flight may end within it after SIGTERM.");
            made.withDefault(
                "drain.accept", durationSetting(0s, 1h), "0s", [](auto& s) -> auto& { return s.drain.accept; },
                "Connections are still accepted for it after SIGTERM, while readiness is denied already.");
            made.withDefault(
                "log-level", logLevelSetting(), "info", [](auto& s) -> auto& { return s.logLevel; },
                "Lowest level of the log lines on standard error.");
            return made;
        }();
        return it;
    }

}

Result<NodeSettings> readNodeSettings(std::string_view yaml, const std::string& file)
{
    SettingsDocument document(yaml, file);
    NodeSettings settings = reader().read(document);
    Detail::resolveKeyFile(document, "fleet-key", "fleet-key-file", settings.fleetKey, settings.fleetKeyFile);
    if (settings.platform == PlatformKind::Own)
        reportMissingTrust(document);
    reportUnspecifiedAddresses(document, settings);
    reportRepeatedMembers(document, settings.members);
    if (document.hasFaults())
        return boost::leaf::new_error(document.faults());
    return settings;
}

Result<NodeSettings> loadNodeSettings(const std::string& file)
{
    BOOST_LEAF_AUTO(yaml, readSettingsFile(file));
    return readNodeSettings(yaml, file);
}

const std::vector<SettingDescription>& nodeSettingDescriptions() { return reader().descriptions(); }

}
