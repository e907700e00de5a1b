#include "carobpath/foundation/SettingsDocument.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <tuple>

namespace carobpath {

namespace {

    SettingsMark markOf(const YAML::Mark& mark) { return { mark.line + 1, mark.column + 1 }; }

    SettingsFaults unreadable(const std::string& path, std::string detail)
    {
        return { { SettingsFault { path, 0, 0, "", SettingsFaultKind::UnreadableFile, std::move(detail) } } };
    }

}

/// Walks the YAML tree once and notes each node under its dotted path.
class SettingsDocument::Flattener {
public:
    explicit Flattener(SettingsDocument& document)
        : m_document(document)
    {
    }

    void visit(const YAML::Node& node, const std::string& path, std::size_t depth)
    {
        if (depth > s_maximumDepth) {
            fault(node, path, SettingsFaultKind::OutOfBounds, "is nested too deep");
            return;
        }
        if (node.IsMap())
            visitMapping(node, path, depth);
        else if (node.IsSequence())
            visitSequence(node, path, depth);
        else
            visitScalar(node, path);
    }

private:
    void visitMapping(const YAML::Node& node, const std::string& path, std::size_t depth)
    {
        note(path, { SettingsValue::Shape::Mapping, markOf(node.Mark()), {}, node.size() });
        for (const auto& entry : node) {
            if (!entry.first.IsScalar()) {
                fault(entry.first, path, SettingsFaultKind::WrongType, "has a key that is no text");
                continue;
            }
            const std::string key = path.empty() ? entry.first.Scalar() : path + "." + entry.first.Scalar();
            if (m_document.m_values.contains(key)) {
                fault(entry.first, key, SettingsFaultKind::Duplicate, "stands twice");
                continue;
            }
            visit(entry.second, key, depth + 1);
            // A fault of the key itself points at the key rather than at its value.
            m_document.m_keyMarks[key] = markOf(entry.first.Mark());
        }
    }

    void visitSequence(const YAML::Node& node, const std::string& path, std::size_t depth)
    {
        SettingsValue value { SettingsValue::Shape::Sequence, markOf(node.Mark()), {}, node.size() };
        for (const auto& item : node) {
            if (item.IsScalar())
                value.scalars.push_back({ item.Scalar(), markOf(item.Mark()) });
        }
        const bool hasOnlyScalars = value.scalars.size() == node.size();
        note(path, std::move(value));
        if (hasOnlyScalars)
            return;
        for (std::size_t i = 0; i < node.size(); ++i)
            visit(node[i], path + "[" + std::to_string(i) + "]", depth + 1);
    }

    void visitScalar(const YAML::Node& node, const std::string& path)
    {
        if (node.IsNull())
            note(path, { SettingsValue::Shape::Null, markOf(node.Mark()), {}, 0 });
        else
            note(path, { SettingsValue::Shape::Scalar, markOf(node.Mark()), { { node.Scalar(), markOf(node.Mark()) } }, 1 });
    }

    void note(const std::string& path, SettingsValue value)
    {
        m_document.m_values.emplace(path, std::move(value));
        m_document.m_paths.push_back(path);
    }

    void fault(const YAML::Node& node, const std::string& path, SettingsFaultKind kind, std::string detail)
    {
        m_document.addFault(path, markOf(node.Mark()), kind, std::move(detail));
    }

    SettingsDocument& m_document;
};

SettingsDocument::SettingsDocument(std::string_view yaml, std::string file)
    : m_file(std::move(file))
{
    try {
        const YAML::Node root = YAML::Load(std::string(yaml));
        if (root.IsMap())
            Flattener(*this).visit(root, "", 0);
        else
            addFault("", { 1, 1 }, SettingsFaultKind::WrongType, "must be a mapping of settings");
    } catch (const YAML::Exception& e) {
        addFault("", markOf(e.mark), SettingsFaultKind::Syntax, e.msg);
    }
}

const SettingsValue* SettingsDocument::find(const std::string& path) const
{
    const auto it = m_values.find(path);
    return it == m_values.end() ? nullptr : &it->second;
}

SettingsMark SettingsDocument::keyMark(const std::string& path) const
{
    const auto it = m_keyMarks.find(path);
    return it == m_keyMarks.end() ? SettingsMark {} : it->second;
}

void SettingsDocument::addFault(const std::string& key, SettingsMark mark, SettingsFaultKind kind, std::string detail)
{
    m_faults.push_back({ m_file, mark.line, mark.column, key, kind, std::move(detail) });
}

SettingsFaults SettingsDocument::faults() const
{
    SettingsFaults sorted { m_faults };
    std::stable_sort(sorted.faults.begin(), sorted.faults.end(), [](const SettingsFault& a, const SettingsFault& b) {
        return std::tie(a.line, a.column) < std::tie(b.line, b.column);
    });
    return sorted;
}

Result<std::string> readSettingsFile(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return boost::leaf::new_error(unreadable(path, "can't be opened"));
    std::string text(SettingsDocument::s_maximumBytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (in.bad() || (in.fail() && !in.eof()))
        return boost::leaf::new_error(unreadable(path, "can't be read"));
    text.resize(static_cast<std::size_t>(in.gcount()));
    if (text.size() > SettingsDocument::s_maximumBytes)
        return boost::leaf::new_error(unreadable(path, "is larger than 1MiB"));
    return text;
}

}
