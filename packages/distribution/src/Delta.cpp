#include "carobpath/distribution/Delta.h"

namespace carobpath::distribution {

namespace {

    template <typename Map, typename Entries>
    void collectChanged(const Map& base, const Map& result, Entries& changed)
    {
        for (const auto& [name, entry] : result) {
            const auto it = base.find(name);
            if (it == base.end() || it->second != entry)
                changed.push_back(entry);
        }
    }

    template <typename Map, typename Names>
    void collectRemoved(const Map& base, const Map& result, Names& removed)
    {
        for (const auto& [name, entry] : base) {
            if (!result.contains(name))
                removed.push_back(name);
        }
    }

    template <typename Map, typename Names>
    void eraseAll(Map& map, const Names& names)
    {
        for (const auto& name : names)
            map.erase(name);
    }

}

Delta deltaBetween(const publication::ConfigurationVersion& base, const publication::ConfigurationVersion& result)
{
    Delta delta;
    delta.base = base.stamp;
    delta.result = result.stamp;
    collectChanged(base.set.services, result.set.services, delta.services);
    collectChanged(base.set.routes, result.set.routes, delta.routes);
    collectChanged(base.set.versions, result.set.versions, delta.versions);
    collectChanged(base.set.moves, result.set.moves, delta.moves);
    collectChanged(base.set.workspaces, result.set.workspaces, delta.workspaces);
    collectRemoved(base.set.services, result.set.services, delta.removedServices);
    collectRemoved(base.set.routes, result.set.routes, delta.removedRoutes);
    collectRemoved(base.set.versions, result.set.versions, delta.removedVersions);
    collectRemoved(base.set.moves, result.set.moves, delta.removedMoves);
    collectRemoved(base.set.workspaces, result.set.workspaces, delta.removedWorkspaces);
    return delta;
}

publication::ConfigurationSet applyDelta(publication::ConfigurationSet base, const Delta& delta)
{
    eraseAll(base.services, delta.removedServices);
    eraseAll(base.routes, delta.removedRoutes);
    eraseAll(base.versions, delta.removedVersions);
    eraseAll(base.moves, delta.removedMoves);
    eraseAll(base.workspaces, delta.removedWorkspaces);
    for (const auto& it : delta.services)
        base.services.insert_or_assign(it.service.name, it);
    for (const auto& it : delta.routes)
        base.routes.insert_or_assign(it.route.name, it);
    for (const auto& it : delta.versions)
        base.versions.insert_or_assign(it.version.name, it);
    for (const auto& it : delta.moves)
        base.moves.insert_or_assign(it.move.name, it);
    for (const auto& it : delta.workspaces)
        base.workspaces.insert_or_assign(it.workspace.name, it);
    return base;
}

}
