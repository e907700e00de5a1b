#pragma once

#include "carobpath/publication/ConfigurationSet.h"

#include <map>
#include <string>

namespace carobpath::publication {

/// Computes the digests of successive versions of a set. Routes that are the same as in the set before are not encoded again:
/// a version changes few of them, and their encoding is by far the largest part of the work.
class SetDigester {
public:
    /// \returns the same digest as \c digestOfSet.
    Digest digestOf(const ConfigurationSet&);

private:
    struct EncodedRoute {
        RouteEntry entry;
        std::string text;
    };

    std::map<RouteName, EncodedRoute> m_routes;
};

}
