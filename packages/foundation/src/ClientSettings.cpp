#include "carobpath/foundation/ClientSettings.h"

#include "internal/NamedSetting.h"

namespace carobpath {

namespace {

    using namespace std::chrono_literals;
    using Reader = SettingsReader<ClientSettings>;

    constexpr Bounds<std::size_t> upToEight { 0, 8 };
    constexpr Bounds<std::size_t> anyNodes { 0, 1'024 };

    void declareLog(Reader& it)
    {
        it.list(
            "log.endpoints", endpointSetting(), upToEight, [](auto& s) -> auto& { return s.log.endpoints; },
            "Addresses of the platform's log, tried in turn; needed for publishing.");
        it.withDefault(
            "log.stream", nameSetting(), "configuration", [](auto& s) -> auto& { return s.log.stream; },
            "Stream of published records.");
    }

    void declareMembers(Reader& it)
    {
        it.optional(
            "member.name", Detail::identifierSetting<MemberName>(), [](auto& s) -> auto& { return s.member.name; },
            "Member in whose name objects are published.");
        it.optional(
            "member.private-key", hexKeySetting(), [](auto& s) -> auto& { return s.member.privateKey; },
            "Ed25519 private key that records are signed with.");
        it.optional(
            "member.private-key-file", pathSetting(), [](auto& s) -> auto& { return s.member.privateKeyFile; },
            "File that holds the private key. A relative path starts at the settings file.");
        it.list(
            "members", memberSettingsReader(), { 0, maximumMembers }, [](auto& s) -> auto& { return s.members; },
            "The members of the consortium.");
        it.optional(
            "fleet-public-key", hexKeySetting(), [](auto& s) -> auto& { return s.fleetPublicKey; },
            "Ed25519 public key of the fleet that the records of nodes are checked with; without it they are taken unchecked.");
    }

    void declareTimeouts(Reader& it)
    {
        it.withDefault(
            "timeouts.log", durationSetting(100ms, 5min), "5s", [](auto& s) -> auto& { return s.timeouts.log; },
            "An append to the log or a read from it.");
        it.withDefault(
            "timeouts.node", durationSetting(100ms, 5min), "2s", [](auto& s) -> auto& { return s.timeouts.node; },
            "A request to a node's admin address.");
        it.withDefault(
            "timeouts.accepted", durationSetting(0s, 1h), "30s", [](auto& s) -> auto& { return s.timeouts.accepted; },
            "How long publishing waits for the verdict on a record.");
    }

    const Reader& reader()
    {
        static const auto it = [] {
            Reader made;
            declareLog(made);
            declareMembers(made);
            made.list(
                "nodes", endpointSetting(), anyNodes, [](auto& s) -> auto& { return s.nodes; },
                "Admin addresses of nodes, asked in turn.");
            declareTimeouts(made);
            made.withDefault(
                "log-level", logLevelSetting(), "warn", [](auto& s) -> auto& { return s.logLevel; },
                "Lowest level of the log lines on standard error.");
            return made;
        }();
        return it;
    }

}

Result<ClientSettings> readClientSettings(std::string_view yaml, const std::string& file)
{
    SettingsDocument document(yaml, file);
    ClientSettings settings = reader().read(document);
    Detail::resolveKeyFile(document, "member.private-key", "member.private-key-file", settings.member.privateKey, settings.member.privateKeyFile);
    reportRepeatedMembers(document, settings.members);
    if (document.hasFaults())
        return boost::leaf::new_error(document.faults());
    return settings;
}

Result<ClientSettings> loadClientSettings(const std::string& file)
{
    BOOST_LEAF_AUTO(yaml, readSettingsFile(file));
    return readClientSettings(yaml, file);
}

const std::vector<SettingDescription>& clientSettingDescriptions() { return reader().descriptions(); }

}
