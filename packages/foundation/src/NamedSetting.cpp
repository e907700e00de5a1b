#include "internal/NamedSetting.h"

#include <boost/leaf/handle_errors.hpp>

namespace carobpath::Detail {

namespace {

    std::string trimmed(const std::string& text)
    {
        const auto first = text.find_first_not_of(" \t\r\n");
        if (first == std::string::npos)
            return "";
        return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
    }

    SettingsMark markAt(const SettingsDocument& document, const std::string& path)
    {
        const SettingsValue* value = document.find(path);
        return value ? value->mark : SettingsMark {};
    }

}

void resolveKeyFile(SettingsDocument& document, const std::string& keyPath, const std::string& filePath, HexKey& key, const std::string& keyFile)
{
    if (keyFile.empty())
        return;
    const SettingsMark mark = markAt(document, filePath);
    if (document.find(keyPath)) {
        document.addFault(filePath, mark, SettingsFaultKind::Conflict, "can't stand beside " + keyPath);
        return;
    }
    const auto resolved = std::filesystem::path(document.file()).parent_path() / keyFile;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(text, readSettingsFile(resolved.string()));
            auto parsed = parseHexKey(trimmed(text));
            if (auto* problem = std::get_if<SettingProblem>(&parsed))
                document.addFault(filePath, mark, problem->kind, "the file " + problem->detail);
            else
                key = std::get<HexKey>(std::move(parsed));
            return {};
        },
        [&](const SettingsFaults& faults) {
            document.addFault(filePath, mark, SettingsFaultKind::UnreadableFile, "the file " + faults.faults.front().detail);
        },
        [&] { document.addFault(filePath, mark, SettingsFaultKind::UnreadableFile, "the file can't be read"); });
}

}
