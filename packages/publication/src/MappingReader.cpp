#include "internal/MappingReader.h"

namespace carobpath::publication::Detail {

SourceLocation markOf(const YAML::Node& node, const std::string& file)
{
    const auto mark = node.Mark();
    return { file, mark.line + 1, mark.column + 1 };
}

MappingReader::MappingReader(const YAML::Node& node, const std::string& file, ObjectFaults& faults)
    : m_node(node)
    , m_file(file)
    , m_faults(faults)
    , m_faultsBefore(faults.size())
    , m_mark(Detail::markOf(node, file))
{
    if (node.IsMap())
        checkKeys();
    else
        fault(m_mark, ObjectFaultKind::WrongType, ObjectField::None, "an object must be a mapping");
}

std::string MappingReader::required(ObjectField field)
{
    const bool isThere = find(field).IsDefined();
    if (!isThere)
        fault(m_mark, ObjectFaultKind::MissingKey, field, "is missing");
    return optional(field).value_or("");
}

std::optional<std::string> MappingReader::optional(ObjectField field)
{
    const auto node = find(field);
    if (!node.IsDefined())
        return std::nullopt;
    if (node.IsScalar())
        return node.Scalar();
    fault(markOf(field), ObjectFaultKind::WrongType, field, "must be a string");
    return std::nullopt;
}

std::vector<std::string> MappingReader::list(ObjectField field)
{
    std::vector<std::string> texts;
    const auto node = find(field);
    if (!node.IsDefined())
        return texts;
    if (!node.IsSequence()) {
        fault(markOf(field), ObjectFaultKind::WrongType, field, "must be a list");
        return texts;
    }
    for (const auto& item : node) {
        const auto location = Detail::markOf(item, m_file);
        if (!item.IsScalar()) {
            fault(location, ObjectFaultKind::WrongType, field, "must contain only strings");
            continue;
        }
        m_items.insert_or_assign({ field, item.Scalar() }, location);
        texts.push_back(item.Scalar());
    }
    return texts;
}

bool MappingReader::finish()
{
    if (!m_node.IsMap())
        return false;
    for (const auto& entry : m_node) {
        if (!entry.first.IsScalar() || m_requestedKeys.contains(entry.first.Scalar()))
            continue;
        m_faults.push_back({ Detail::markOf(entry.first, m_file), ObjectFaultKind::UnknownKey, entry.first.Scalar(), "is not a key of this kind of object", {} });
    }
    return m_faults.size() == m_faultsBefore;
}

SourceLocation MappingReader::markOf(ObjectField field) const
{
    const auto it = m_fields.find(field);
    return it == m_fields.end() ? m_mark : it->second;
}

void MappingReader::checkKeys()
{
    std::set<std::string> seen;
    for (const auto& entry : m_node) {
        const auto location = Detail::markOf(entry.first, m_file);
        if (!entry.first.IsScalar())
            fault(location, ObjectFaultKind::WrongType, ObjectField::None, "a key must be a string");
        else if (!seen.insert(entry.first.Scalar()).second)
            m_faults.push_back({ location, ObjectFaultKind::DuplicateKey, entry.first.Scalar(), "is given twice", {} });
    }
}

YAML::Node MappingReader::find(ObjectField field)
{
    const std::string key { toString(field) };
    m_requestedKeys.insert(key);
    if (!m_node.IsMap())
        return YAML::Node { YAML::NodeType::Undefined };
    const YAML::Node& node = m_node;
    const YAML::Node value = node[key];
    if (value.IsDefined())
        m_fields.insert_or_assign(field, Detail::markOf(value, m_file));
    return value;
}

void MappingReader::fault(const SourceLocation& mark, ObjectFaultKind kind, ObjectField field, std::string detail)
{
    m_faults.push_back({ mark, kind, std::string { toString(field) }, std::move(detail), {} });
}

}
