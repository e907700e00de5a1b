#pragma once

#include "carobpath/foundation/Result.h"
#include "carobpath/foundation/SettingsFault.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace carobpath {

/// Where a value stands in its file, from 1.
struct SettingsMark {
    int line = 0;
    int column = 0;
};

/// A scalar with its place.
struct SettingsScalar {
    std::string text;
    SettingsMark mark;
};

/// What stands at one dotted path.
struct SettingsValue {
    enum class Shape {
        Scalar,
        Sequence,
        Mapping,
        Null,
    };
    Shape shape = Shape::Null;
    SettingsMark mark;
    /// The scalar, or the items of a sequence of scalars.
    std::vector<SettingsScalar> scalars;
    /// Number of items of a sequence.
    std::size_t size = 0;
};

/// A YAML file flattened to dotted paths, such as "limits.body-bytes" and "members[0].name".
/// Faults of the file itself (syntax, duplicate keys, keys that are no text) are collected while reading.
class SettingsDocument {
public:
    static constexpr std::size_t s_maximumBytes = 1 << 20;
    static constexpr std::size_t s_maximumDepth = 8;

    SettingsDocument(std::string_view yaml, std::string file);

    const std::string& file() const { return m_file; }

    /// Whether the text is a mapping at all; where it is not, its keys are not worth a look.
    bool isMapping() const { return m_values.contains(""); }

    /// \returns null where the path is absent.
    const SettingsValue* find(const std::string& path) const;

    /// \returns where the last key of the path stands, or line 0 where the path is no key.
    SettingsMark keyMark(const std::string& path) const;

    /// Every path in the order of the file.
    const std::vector<std::string>& paths() const { return m_paths; }

    void addFault(const std::string& key, SettingsMark, SettingsFaultKind, std::string detail);
    bool hasFaults() const { return !m_faults.empty(); }

    /// \returns every fault in the order of the file.
    SettingsFaults faults() const;

private:
    class Flattener;

    std::string m_file;
    std::map<std::string, SettingsValue> m_values;
    std::map<std::string, SettingsMark> m_keyMarks;
    std::vector<std::string> m_paths;
    std::vector<SettingsFault> m_faults;
};

/// \returns the text of a file of at most SettingsDocument::s_maximumBytes, or SettingsFaults.
Result<std::string> readSettingsFile(const std::string& path);

}
