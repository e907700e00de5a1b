#pragma once

#include "carobpath/access/KeyTable.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace carobpath::access {

/// Why a caller may not use a route.
enum class AccessFault : std::uint8_t {
    /// The call has no API key, and its route does not allow anonymous callers.
    MissingKey,
    /// No workspace holds the key. Refused on every route, so that a withdrawn key is of use nowhere.
    UnknownKey,
};

/// The caller of an accepted call.
struct Caller {
    /// Null for an anonymous caller.
    const publication::Workspace* workspace = nullptr;
};

using Access = std::variant<Caller, AccessFault>;

/// Decides whether a call may use the route.
/// \param key digest of the API key that the call carries; empty if it carries none.
Access accessOf(const KeyTable&, const publication::Route&, const std::optional<Digest>& key);

/// \returns the rank of a call in queues, 0 being the highest. The priority of the workspace counts before that of the route;
/// a call without a workspace has that of its route alone.
std::uint32_t rankOf(const Caller&, const publication::Route&);

}
