#include "carobpath/foundation/SettingsReader.h"

#include <algorithm>

namespace carobpath {

namespace {

    /// \returns the path with every index left out, such as "members[].name".
    std::string withoutIndices(std::string_view path)
    {
        std::string text;
        bool isInside = false;
        for (const char c : path) {
            if (c == ']')
                isInside = false;
            if (!isInside)
                text += c;
            if (c == '[')
                isInside = true;
        }
        return text;
    }

    bool isKeyOrPrefix(const SettingDescription& description, const std::string& path)
    {
        if (description.key == path || path == description.key + "[]")
            return true;
        return description.key.starts_with(path + ".");
    }

    std::string_view shapeText(SettingsValue::Shape shape)
    {
        switch (shape) {
        case SettingsValue::Shape::Scalar:
            return "a single value";
        case SettingsValue::Shape::Sequence:
            return "a list";
        case SettingsValue::Shape::Mapping:
            return "a mapping";
        case SettingsValue::Shape::Null:
            return "empty";
        }
        return "unknown";
    }

}

SettingType<std::string> nameSetting() { return { "name", "1 to 63 characters", parseName }; }

SettingType<std::string> pathSetting() { return { "path", "", parsePath }; }

SettingType<Endpoint> endpointSetting() { return { "endpoint", "", parseEndpoint }; }

SettingType<HexKey> hexKeySetting() { return { "key", "64 hexadecimal digits", parseHexKey }; }

SettingType<LogLevel> logLevelSetting() { return { "level", "trace, debug, info, warn, error, off", parseLogLevel }; }

SettingType<std::chrono::microseconds> durationSetting(std::chrono::microseconds lowest, std::chrono::microseconds highest)
{
    return { "duration", durationText(lowest) + " to " + durationText(highest),
        [=](std::string_view text) { return parseDuration(text, { lowest, highest }); } };
}

SettingType<std::uint64_t> sizeSetting(std::uint64_t lowest, std::uint64_t highest)
{
    return { "size", sizeText(lowest) + " to " + sizeText(highest),
        [=](std::string_view text) { return parseSize(text, { lowest, highest }); } };
}

SettingType<double> decimalSetting(double lowest, double highest)
{
    return { "decimal", decimalText(lowest) + " to " + decimalText(highest),
        [=](std::string_view text) { return parseDecimal(text, { lowest, highest }); } };
}

SettingType<bool> switchSetting() { return { "switch", "on, off", parseSwitch }; }
SettingType<PlatformKind> platformKindSetting() { return { "platform", "own, fleet", parsePlatformKind }; }

SettingType<std::int64_t> integerSetting(std::int64_t lowest, std::int64_t highest)
{
    return { "integer", std::to_string(lowest) + " to " + std::to_string(highest),
        [=](std::string_view text) { return parseInteger(text, { lowest, highest }); } };
}

namespace Detail {

    bool expectShape(SettingsDocument& document, const std::string& path, const SettingsValue& value, SettingsValue::Shape shape, const std::string& typeName)
    {
        if (value.shape == shape)
            return true;
        document.addFault(path, value.mark, SettingsFaultKind::WrongType, "is " + std::string(shapeText(value.shape)) + ", must be: " + typeName);
        return false;
    }

    void reportUnknownKeys(SettingsDocument& document, const std::vector<SettingDescription>& descriptions)
    {
        std::string unknown;
        for (const std::string& path : document.paths()) {
            const bool isBelowUnknown = !unknown.empty() && (path.starts_with(unknown + ".") || path.starts_with(unknown + "["));
            if (path.empty() || isBelowUnknown)
                continue;
            const std::string key = withoutIndices(path);
            const bool isKnown = std::any_of(descriptions.begin(), descriptions.end(), [&](const auto& it) { return isKeyOrPrefix(it, key); });
            if (isKnown)
                continue;
            unknown = path;
            document.addFault(path, document.keyMark(path), SettingsFaultKind::UnknownKey, "is no setting");
        }
    }

}

}
