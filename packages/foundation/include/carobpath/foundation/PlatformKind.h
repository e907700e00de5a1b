#pragma once

#include <optional>
#include <string_view>

namespace carobpath {

/// Whose names and calls a node speaks towards callers, backend servers and the platform.
enum class PlatformKind {
    /// carobpath's own interface: members publish objects in the log.
    Own,
    /// The shared fleet's: one operator writes the configuration to the fleet's store.
    Fleet,
};

/// \returns the kind whose name is given: "own" or "fleet".
std::optional<PlatformKind> platformKindFromText(std::string_view);
std::string_view toString(PlatformKind);

}
