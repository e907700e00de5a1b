#pragma once

#include <optional>
#include <string>

namespace carobpath {

/// Documentation of one key, from which docs/SETTINGS.md is checked.
struct SettingDescription {
    /// Dotted path; "[]" after a list of mappings, such as "members[].name".
    std::string key;
    /// Type and unit, such as "duration" or "list of endpoints".
    std::string type;
    /// Text of the default; empty where the key is required or may be absent.
    std::optional<std::string> fallback;
    bool isRequired = false;
    /// "LOWEST to HIGHEST", or empty.
    std::string bounds;
    std::string purpose;
};

}
