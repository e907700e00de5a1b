#include "carobpath/publication/SetCheck.h"

#include "carobpath/publication/Bounds.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace carobpath::publication {

namespace {

    /// \returns the entries of a map, least recently changed first.
    template <typename Map>
    std::vector<const typename Map::mapped_type*> byAge(const Map& map)
    {
        std::vector<const typename Map::mapped_type*> entries;
        entries.reserve(map.size());
        for (const auto& [name, entry] : map)
            entries.push_back(&entry);
        std::stable_sort(entries.begin(), entries.end(), [](const auto* a, const auto* b) { return a->changedAt < b->changedAt; });
        return entries;
    }

    bool haveMethodInCommon(const Route& a, const Route& b)
    {
        if (a.methods.empty() || b.methods.empty())
            return true;
        return std::any_of(a.methods.begin(), a.methods.end(), [&](const std::string& method) {
            return std::find(b.methods.begin(), b.methods.end(), method) != b.methods.end();
        });
    }

    class SetChecker {
    public:
        explicit SetChecker(const ConfigurationSet& set)
            : m_set(set)
        {
        }

        Faults check()
        {
            checkCounts();
            for (const auto& [name, entry] : m_set.services)
                checkService(entry);
            for (const auto& [name, entry] : m_set.versions)
                checkServiceOf(refOf(name), entry.version.member, entry.version.service);
            for (const auto& [name, entry] : m_set.routes)
                checkServiceOf(refOf(name), entry.route.member, entry.route.service);
            for (const auto& [name, entry] : m_set.moves)
                checkMove(entry);
            checkHosts();
            checkRoutes();
            return std::move(m_faults);
        }

    private:
        void add(FaultKind kind, std::optional<ObjectRef> object, ObjectField field, std::optional<ObjectRef> related, std::string value = {})
        {
            m_faults.push_back({ kind, std::move(object), field, std::move(related), std::move(value), 0 });
        }

        void checkCounts()
        {
            checkCount(m_set.services.size(), bounds::services, "services");
            checkCount(m_set.routes.size(), bounds::routes, "routes");
            checkCount(m_set.versions.size(), bounds::versions, "versions");
            checkCount(m_set.moves.size(), bounds::moves, "moves");
        }

        void checkCount(std::size_t count, std::size_t bound, const char* what)
        {
            if (count > bound)
                add(FaultKind::BoundExceeded, std::nullopt, ObjectField::None, std::nullopt, what);
        }

        void checkService(const ServiceEntry& entry)
        {
            checkVersionOf(refOf(entry.service.name), ObjectField::InitialVersion, entry.service.name, entry.currentVersion);
        }

        void checkMove(const MoveEntry& entry)
        {
            if (entry.verdict)
                return;
            const auto& move = entry.move;
            if (checkServiceOf(refOf(move.name), move.member, move.service))
                checkVersionOf(refOf(move.name), ObjectField::To, move.service, move.to);
        }

        bool checkServiceOf(const ObjectRef& object, const MemberName& member, const ServiceName& service)
        {
            const auto it = m_set.services.find(service);
            if (it == m_set.services.end()) {
                add(FaultKind::DanglingReference, object, ObjectField::Service, refOf(service));
                return false;
            }
            if (it->second.service.member != member) {
                add(FaultKind::ForeignReference, object, ObjectField::Service, refOf(service));
                return false;
            }
            return true;
        }

        void checkVersionOf(const ObjectRef& object, ObjectField field, const ServiceName& service, const VersionName& version)
        {
            const auto it = m_set.versions.find(version);
            if (it == m_set.versions.end())
                add(FaultKind::DanglingReference, object, field, refOf(version));
            else if (it->second.version.service != service)
                add(FaultKind::WrongService, object, field, refOf(version));
        }

        void checkHosts()
        {
            std::map<std::string_view, const ServiceName*> owners;
            for (const auto* entry : byAge(m_set.services)) {
                for (const auto& host : entry->service.hosts) {
                    const auto [it, isNew] = owners.emplace(host, &entry->service.name);
                    if (!isNew && *it->second != entry->service.name)
                        add(FaultKind::HostTaken, refOf(entry->service.name), ObjectField::Hosts, refOf(*it->second), host);
                }
            }
        }

        void checkRoutes()
        {
            std::map<std::pair<ServiceName, std::string_view>, std::vector<const Route*>> taken;
            for (const auto* entry : byAge(m_set.routes)) {
                auto& others = taken[{ entry->route.service, entry->route.pathPrefix }];
                const auto it = std::find_if(others.begin(), others.end(), [&](const Route* other) { return haveMethodInCommon(*other, entry->route); });
                if (it != others.end())
                    add(FaultKind::RouteConflict, refOf(entry->route.name), ObjectField::PathPrefix, refOf((*it)->name), entry->route.pathPrefix);
                others.push_back(&entry->route);
            }
        }

        const ConfigurationSet& m_set;
        Faults m_faults;
    };

}

Faults checkSet(const ConfigurationSet& set)
{
    return SetChecker { set }.check();
}

bool fitsIntoSetBound(const ConfigurationSet& set, std::size_t encodedBytes)
{
    const auto unfinished = std::count_if(set.moves.begin(), set.moves.end(), [](const auto& it) { return !it.second.verdict; });
    return encodedBytes + static_cast<std::size_t>(unfinished) * bounds::verdictBytes <= bounds::setBytes;
}

}
