#include "carobpath/foundation/MemberSettings.h"

#include "internal/NamedSetting.h"

#include <set>

namespace carobpath {

const SettingsReader<MemberSettings>& memberSettingsReader()
{
    static const auto reader = [] {
        SettingsReader<MemberSettings> it;
        it.required(
            "name", Detail::identifierSetting<MemberName>(), [](MemberSettings & s) -> auto& { return s.name; },
            "Name of the member; its objects belong to it alone.");
        it.required(
            "public-key", hexKeySetting(), [](MemberSettings & s) -> auto& { return s.publicKey; },
            "Ed25519 public key that the member's records are checked with.");
        return it;
    }();
    return reader;
}

void reportRepeatedMembers(SettingsDocument& document, const std::vector<MemberSettings>& members)
{
    std::set<std::pair<MemberName, std::string>> seen;
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (members[i].name.empty() || seen.emplace(members[i].name, members[i].publicKey.digits).second)
            continue;
        const std::string path = "members[" + std::to_string(i) + "].name";
        const SettingsValue* value = document.find(path);
        document.addFault(path, value ? value->mark : SettingsMark {}, SettingsFaultKind::Duplicate, "names a member that is listed already with this key");
    }
}

}
