#pragma once

#include "carobpath/publication/ObjectFile.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <set>

namespace carobpath::publication::Detail {

/// Reads the keys of one object and collects all faults and positions.
class MappingReader {
public:
    MappingReader(const YAML::Node& node, const std::string& file, ObjectFaults& faults);

    bool isMapping() const { return m_node.IsMap(); }

    std::string required(ObjectField);
    std::optional<std::string> optional(ObjectField);
    std::vector<std::string> list(ObjectField);

    /// Reads a scalar with the parser and reports a fault if the parser returns nothing.
    template <typename T, typename Parse>
    void read(ObjectField field, ObjectFaultKind kind, const char* expected, T& target, Parse parse)
    {
        const auto text = optional(field);
        if (!text)
            return;
        if (const auto value = parse(*text))
            target = *value;
        else
            fault(markOf(field), kind, field, std::string { "is not " } + expected);
    }

    /// Reports the keys that were not requested. \returns whether the object has no faults.
    bool finish();

    SourceLocation mark() const { return m_mark; }
    SourceLocation markOf(ObjectField) const;
    const std::map<ObjectField, SourceLocation>& fields() const { return m_fields; }
    const std::map<std::pair<ObjectField, std::string>, SourceLocation>& items() const { return m_items; }

    /// Allows a key that is not a field of an object, such as "kind".
    void allow(const std::string& key) { m_requestedKeys.insert(key); }

private:
    void checkKeys();
    YAML::Node find(ObjectField);
    void fault(const SourceLocation&, ObjectFaultKind, ObjectField, std::string detail);

    YAML::Node m_node;
    std::string m_file;
    ObjectFaults& m_faults;
    std::size_t m_faultsBefore;
    SourceLocation m_mark;
    std::set<std::string> m_requestedKeys;
    std::map<ObjectField, SourceLocation> m_fields;
    std::map<std::pair<ObjectField, std::string>, SourceLocation> m_items;
};

/// \returns the position of a node, counted from 1.
SourceLocation markOf(const YAML::Node&, const std::string& file);

}
