#include "carobpath/access/Access.h"

#include <algorithm>
#include <limits>

namespace carobpath::access {

namespace {

    /// Routes with a lower priority than this share one rank within a workspace.
    constexpr std::uint32_t ranksPerWorkspacePriority = 1024;

}

Access accessOf(const KeyTable& keys, const publication::Route& route, const std::optional<Digest>& key)
{
    if (!keys.isInForce())
        return Caller {};
    const auto* workspace = key ? keys.find(*key) : nullptr;
    if (workspace)
        return Caller { workspace };
    if (key)
        return AccessFault::UnknownKey;
    if (route.allowsAnonymous)
        return Caller {};
    return AccessFault::MissingKey;
}

std::uint32_t rankOf(const Caller& caller, const publication::Route& route)
{
    if (!caller.workspace)
        return route.priority;
    constexpr std::uint32_t lowestPriority = std::numeric_limits<std::uint32_t>::max() / ranksPerWorkspacePriority - 1;
    const auto ofWorkspace = std::min(caller.workspace->priority, lowestPriority);
    return ofWorkspace * ranksPerWorkspacePriority + std::min(route.priority, ranksPerWorkspacePriority - 1);
}

}
