#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace carobpath {

/// What is wrong with one setting.
enum class SettingsFaultKind {
    UnreadableFile,
    Syntax,
    UnknownKey,
    MissingKey,
    Duplicate,
    WrongType,
    OutOfBounds,
    BadName,
    BadEndpoint,
    BadDuration,
    BadSize,
    BadInteger,
    BadDecimal,
    BadChoice,
    BadKey,
    Conflict,
};

/// \returns the kind's name in kebab case, such as "unknown-key".
std::string_view toString(SettingsFaultKind);

/// One fault of a settings file. Line and column count from 1; 0 means that the fault has no place in the file.
struct SettingsFault {
    std::string file;
    int line = 0;
    int column = 0;
    /// Dotted path of the key, such as "limits.body-bytes" or "members[2].name".
    std::string key;
    SettingsFaultKind kind = SettingsFaultKind::Syntax;
    std::string detail;
};

/// \returns "FILE:LINE:COLUMN: KEY: DETAIL (KIND)".
std::string toString(const SettingsFault&);

/// Error of a settings file: every fault in it, in the order of the file.
struct SettingsFaults {
    std::vector<SettingsFault> faults;
};

}
