#pragma once

#include "carobpath/publication/ConfigurationSet.h"
#include "carobpath/publication/StoreEra.h"

#include <optional>
#include <string>
#include <vector>

namespace carobpath::distribution {

/// The difference between two versions of the full set.
struct Delta {
    publication::ConfigurationStamp base;
    publication::ConfigurationStamp result;
    /// Complete entries that were added or changed.
    std::vector<publication::ServiceEntry> services;
    std::vector<publication::RouteEntry> routes;
    std::vector<publication::VersionEntry> versions;
    std::vector<publication::MoveEntry> moves;
    std::vector<publication::WorkspaceEntry> workspaces;
    /// Names of entries that were removed.
    std::vector<ServiceName> removedServices;
    std::vector<RouteName> removedRoutes;
    std::vector<VersionName> removedVersions;
    std::vector<MoveName> removedMoves;
    std::vector<WorkspaceName> removedWorkspaces;
    /// Records of the log that are all configurations, and led to the result; empty if other records lie between them.
    std::optional<publication::RecordSpan> span;

    friend bool operator==(const Delta&, const Delta&) = default;
};

/// \returns the delta that leads from \c base to \c result.
Delta deltaBetween(const publication::ConfigurationVersion& base, const publication::ConfigurationVersion& result);

/// \returns the set that results from applying the delta to the base. The caller must check its digest.
publication::ConfigurationSet applyDelta(publication::ConfigurationSet base, const Delta&);

}
