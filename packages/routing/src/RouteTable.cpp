#include "carobpath/routing/RouteTable.h"

#include <algorithm>

namespace carobpath::routing {

namespace {

    bool allowsMethod(const publication::Route& route, std::string_view method)
    {
        return route.methods.empty()
            || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
    }

    /// \returns the hosts that the route matches: its own hosts if it has any, otherwise those of its service.
    const std::vector<std::string>& hostsOf(const publication::ConfigurationSet& set, const publication::Route& route)
    {
        static const std::vector<std::string> none;
        if (!route.hosts.empty())
            return route.hosts;
        const auto it = set.services.find(route.service);
        return it == set.services.end() ? none : it->second.service.hosts;
    }

}

RouteTable::RouteTable(publication::ConfigurationPointer configuration)
    : m_configuration(std::move(configuration))
{
    if (!m_configuration)
        return;
    const auto& set = m_configuration->set;
    m_keys = access::KeyTable { set };
    for (const auto& [name, entry] : set.services) {
        for (const auto& host : entry.service.hosts)
            m_hosts.try_emplace(host);
    }
    for (const auto& [name, entry] : set.routes) {
        for (const auto& host : hostsOf(set, entry.route))
            addRoute(host, entry.route);
    }
    sortGroups();
}

void RouteTable::addRoute(std::string_view host, const publication::Route& route)
{
    auto& groups = m_hosts[host];
    auto group = std::find_if(groups.begin(), groups.end(),
        [&](const PrefixGroup& known) { return known.prefix == route.pathPrefix; });
    if (group == groups.end())
        group = groups.insert(groups.end(), PrefixGroup { route.pathPrefix, {} });
    group->routes.push_back(&route);
}

void RouteTable::sortGroups()
{
    for (auto& [host, groups] : m_hosts) {
        std::sort(groups.begin(), groups.end(),
            [](const auto& a, const auto& b) { return a.prefix.size() > b.prefix.size(); });
    }
}

RouteTable::Lookup RouteTable::find(std::string_view host, std::string_view method, std::string_view path) const
{
    const auto groups = m_hosts.find(host);
    if (groups == m_hosts.end())
        return RouteLookupError::UnknownHost;
    for (const auto& group : groups->second) {
        if (!path.starts_with(group.prefix))
            continue;
        for (const auto* route : group.routes) {
            if (allowsMethod(*route, method))
                return route;
        }
        return RouteLookupError::MethodNotAllowed;
    }
    return RouteLookupError::UnknownRoute;
}

}
