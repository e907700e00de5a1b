#include "carobpath/publication/ObjectFile.h"

#include "carobpath/publication/Bounds.h"
#include "carobpath/publication/EnumText.h"
#include "internal/MappingReader.h"
#include "internal/TimeText.h"

#include <fstream>

namespace carobpath::publication {

namespace {

    using Detail::MappingReader;
    using Field = ObjectField;

    constexpr std::size_t maxFileBytes = 1024 * bounds::kibibyte;

    struct ListKey {
        std::string_view key;
        ObjectKind kind;
    };

    constexpr std::array listKeys {
        ListKey { "services", ObjectKind::Service },
        ListKey { "routes", ObjectKind::Route },
        ListKey { "versions", ObjectKind::Version },
        ListKey { "moves", ObjectKind::Move },
    };

    /// Reads the documents of one file.
    class FileReader {
    public:
        FileReader(std::string file, const ObjectFileOptions& options)
            : m_file(std::move(file))
            , m_options(options)
        {
        }

        ObjectFile read(std::string_view yaml)
        {
            try {
                for (const auto& document : YAML::LoadAll(std::string { yaml }))
                    readDocument(document);
            } catch (const YAML::Exception& e) {
                add({ m_file, e.mark.line + 1, e.mark.column + 1 }, ObjectFaultKind::Syntax, "", e.msg);
            }
            return std::move(m_result);
        }

    private:
        void readDocument(const YAML::Node& document)
        {
            if (document.IsNull())
                return;
            if (!document.IsMap())
                return add(Detail::markOf(document, m_file), ObjectFaultKind::WrongType, "", "a document must be a mapping");
            const YAML::Node kind = document["kind"];
            if (kind.IsDefined())
                readSingle(document, kind);
            else
                readLists(document);
        }

        void readSingle(const YAML::Node& document, const YAML::Node& kindNode)
        {
            const auto kind = kindNode.IsScalar() ? objectKindFromString(kindNode.Scalar()) : std::nullopt;
            if (!kind)
                return add(Detail::markOf(kindNode, m_file), ObjectFaultKind::BadChoice, "kind", "is not service, route, version or move");
            readObject(document, *kind, true);
        }

        void readLists(const YAML::Node& document)
        {
            std::set<std::string> seen;
            for (const auto& entry : document) {
                const auto location = Detail::markOf(entry.first, m_file);
                const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "";
                const auto it = std::find_if(listKeys.begin(), listKeys.end(), [&](const ListKey& row) { return row.key == key; });
                if (it == listKeys.end())
                    add(location, ObjectFaultKind::UnknownKey, key, "is not kind, services, routes, versions or moves");
                else if (!seen.insert(key).second)
                    add(location, ObjectFaultKind::DuplicateKey, key, "is given twice");
                else
                    readList(entry.second, *it);
            }
        }

        void readList(const YAML::Node& list, const ListKey& key)
        {
            if (list.IsNull())
                return;
            if (!list.IsSequence())
                return add(Detail::markOf(list, m_file), ObjectFaultKind::WrongType, std::string { key.key }, "must be a list");
            for (const auto& item : list) {
                if (m_result.faults.size() >= bounds::reportedFaults)
                    return;
                if (m_result.objects.size() >= bounds::changesPerRecord)
                    return add(Detail::markOf(item, m_file), ObjectFaultKind::TooLarge, std::string { key.key }, "contains more objects than one record may have");
                readObject(item, key.kind, false);
            }
        }

        void readObject(const YAML::Node& node, ObjectKind kind, bool hasKindKey)
        {
            MappingReader reader { node, m_file, m_result.faults };
            if (!reader.isMapping())
                return;
            if (hasKindKey)
                reader.allow("kind");
            auto change = readChange(reader, kind);
            if (reader.finish())
                m_result.objects.push_back({ std::move(change), reader.mark(), reader.fields(), reader.items() });
        }

        Change readChange(MappingReader& reader, ObjectKind kind)
        {
            switch (kind) {
            case ObjectKind::Service:
                return PutService { readService(reader) };
            case ObjectKind::Route:
                return PutRoute { readRoute(reader) };
            case ObjectKind::Version:
                return PutVersion { readVersion(reader) };
            case ObjectKind::Move:
                return PutMove { readMove(reader) };
            }
            return {};
        }

        MemberName memberOf(MappingReader& reader) const
        {
            const auto member = reader.optional(Field::Member);
            return member ? MemberName { *member } : m_options.member;
        }

        Service readService(MappingReader& reader) const
        {
            Service it;
            it.name = ServiceName { reader.required(Field::Name) };
            it.member = memberOf(reader);
            it.initialVersion = VersionName { reader.required(Field::InitialVersion) };
            it.hosts = reader.list(Field::Hosts);
            return it;
        }

        Route readRoute(MappingReader& reader) const
        {
            Route it;
            it.name = RouteName { reader.required(Field::Name) };
            it.member = memberOf(reader);
            it.service = ServiceName { reader.required(Field::Service) };
            it.pathPrefix = reader.required(Field::PathPrefix);
            it.methods = reader.list(Field::Methods);
            reader.read(Field::Repeatability, ObjectFaultKind::BadChoice, "repeatable or not-repeatable", it.repeatability, repeatabilityFromString);
            reader.read(Field::TrafficClass, ObjectFaultKind::BadChoice, "short or download", it.trafficClass, trafficClassFromString);
            reader.read(Field::Timeout, ObjectFaultKind::BadDuration, "a duration such as 250ms or 5s", it.timeout, Detail::durationFromText);
            return it;
        }

        Version readVersion(MappingReader& reader) const
        {
            Version it;
            it.name = VersionName { reader.required(Field::Name) };
            it.member = memberOf(reader);
            it.service = ServiceName { reader.required(Field::Service) };
            return it;
        }

        Move readMove(MappingReader& reader) const
        {
            constexpr auto timeShape = "a UTC time such as 2026-12-03T22:50:00Z, or +30s after publishing";
            const auto parseTime = [this](std::string_view text) { return Detail::wallTimeFromText(text, m_options.publishedAt); };
            Move it;
            it.name = MoveName { reader.required(Field::Name) };
            it.member = memberOf(reader);
            it.service = ServiceName { reader.required(Field::Service) };
            it.to = VersionName { reader.required(Field::To) };
            it.startAt = m_options.publishedAt;
            reader.read(Field::StartAt, ObjectFaultKind::BadTime, timeShape, it.startAt, parseTime);
            if (!reader.required(Field::Deadline).empty())
                reader.read(Field::Deadline, ObjectFaultKind::BadTime, timeShape, it.deadline, parseTime);
            reader.read(Field::OnThinEvidence, ObjectFaultKind::BadChoice, "finish or take-back", it.onThinEvidence, thinEvidencePolicyFromString);
            return it;
        }

        void add(SourceLocation mark, ObjectFaultKind kind, std::string key, std::string detail)
        {
            m_result.faults.push_back({ std::move(mark), kind, std::move(key), std::move(detail), {} });
        }

        std::string m_file;
        const ObjectFileOptions& m_options;
        ObjectFile m_result;
    };

    ObjectFile unreadable(const std::string& path, ObjectFaultKind kind, std::string detail)
    {
        return { {}, { { { path, 0, 0 }, kind, "", std::move(detail), {} } } };
    }

}

ObjectFile readObjects(std::string_view yaml, const std::string& file, const ObjectFileOptions& options)
{
    return FileReader { file, options }.read(yaml);
}

ObjectFile readObjectFile(const std::string& path, const ObjectFileOptions& options)
{
    std::ifstream in { path, std::ios::binary };
    if (!in)
        return unreadable(path, ObjectFaultKind::UnreadableFile, "can't be opened");
    std::string text(maxFileBytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (in.bad() || (in.fail() && !in.eof()))
        return unreadable(path, ObjectFaultKind::UnreadableFile, "can't be read");
    text.resize(static_cast<std::size_t>(in.gcount()));
    if (text.size() > maxFileBytes)
        return unreadable(path, ObjectFaultKind::TooLarge, "is larger than 1 MiB");
    return readObjects(text, path, options);
}

}
