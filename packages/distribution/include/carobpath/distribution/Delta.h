#pragma once

#include "carobpath/publication/ConfigurationSet.h"

#include <string>
#include <vector>

namespace carobpath::distribution {

/// The way from one version of the whole set to a later one.
struct Delta {
    publication::ConfigurationStamp base;
    publication::ConfigurationStamp result;
    /// Entries that are new or changed, whole.
    std::vector<publication::ServiceEntry> services;
    std::vector<publication::RouteEntry> routes;
    std::vector<publication::VersionEntry> versions;
    std::vector<publication::MoveEntry> moves;
    /// Names of entries that are gone.
    std::vector<ServiceName> removedServices;
    std::vector<RouteName> removedRoutes;
    std::vector<VersionName> removedVersions;
    std::vector<MoveName> removedMoves;

    friend bool operator==(const Delta&, const Delta&) = default;
};

/// \returns the difference of two versions.
Delta deltaBetween(const publication::ConfigurationVersion& base, const publication::ConfigurationVersion& result);

/// \returns the set that the delta makes of the base. The digest of the outcome is for the caller to check.
publication::ConfigurationSet applyDelta(publication::ConfigurationSet base, const Delta&);

}
