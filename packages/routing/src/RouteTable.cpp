#include "carobpath/routing/RouteTable.h"

#include <algorithm>

namespace carobpath::routing {

namespace {

    bool takesMethod(const publication::Route& route, std::string_view method)
    {
        return route.methods.empty()
            || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
    }

}

RouteTable::RouteTable(publication::ConfigurationPointer configuration)
    : m_configuration(std::move(configuration))
{
    if (!m_configuration)
        return;
    const auto& set = m_configuration->set;
    for (const auto& [name, entry] : set.services)
        m_groups.try_emplace(name);
    for (const auto& [name, entry] : set.routes)
        addRoute(entry.route);
    sortGroups();
    for (const auto& [name, entry] : set.services) {
        for (const auto& host : entry.service.hosts)
            m_hosts.try_emplace(host, &m_groups.at(name));
    }
}

void RouteTable::addRoute(const publication::Route& route)
{
    const auto it = m_groups.find(route.service);
    if (it == m_groups.end())
        return;
    auto& groups = it->second;
    auto group = std::find_if(groups.begin(), groups.end(),
        [&](const PrefixGroup& known) { return known.prefix == route.pathPrefix; });
    if (group == groups.end())
        group = groups.insert(groups.end(), PrefixGroup { route.pathPrefix, {} });
    group->routes.push_back(&route);
}

void RouteTable::sortGroups()
{
    for (auto& [service, groups] : m_groups) {
        std::sort(groups.begin(), groups.end(),
            [](const auto& a, const auto& b) { return a.prefix.size() > b.prefix.size(); });
    }
}

RouteTable::Lookup RouteTable::find(std::string_view host, std::string_view method, std::string_view path) const
{
    const auto groups = m_hosts.find(host);
    if (groups == m_hosts.end())
        return RouteMiss::UnknownHost;
    for (const auto& group : *groups->second) {
        if (!path.starts_with(group.prefix))
            continue;
        for (const auto* route : group.routes) {
            if (takesMethod(*route, method))
                return route;
        }
        return RouteMiss::MethodNotAllowed;
    }
    return RouteMiss::UnknownRoute;
}

}
