#pragma once

#include "carobpath/foundation/SettingsReader.h"

#include <filesystem>

namespace carobpath::Detail {

/// A name setting that is stored as an identifier of one kind.
template <typename Name>
SettingType<Name> identifierSetting()
{
    SettingType<std::string> text = nameSetting();
    return { text.name, text.bounds, [text](std::string_view it) -> Parsed<Name> {
                auto parsed = text.parse(it);
                if (auto* problem = std::get_if<SettingProblem>(&parsed))
                    return std::move(*problem);
                return Name(std::get<std::string>(std::move(parsed)));
            } };
}

/// Fills a key from the file that the settings name in its place. A relative path starts at the settings file.
/// Reports a conflict where both the key and the file are given.
void resolveKeyFile(SettingsDocument&, const std::string& keyPath, const std::string& filePath, HexKey&, const std::string& keyFile);

}
