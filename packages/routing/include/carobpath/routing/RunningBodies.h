#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace carobpath::routing {

/// The bodies of answers that are being passed on. The times of bodies that have ended say nothing of one that is slower than all
/// of them; a body that still runs tells by how far it is.
class RunningBodies {
public:
    struct Body {
        MonotonicTime startedAt;
        /// In bytes; 0 if unknown.
        std::uint64_t length = 0;
        std::uint64_t delivered = 0;
    };
    using Handle = std::list<Body>::iterator;

    Handle begin(const RouteName&, std::uint64_t length, MonotonicTime now);
    void end(const RouteName&, Handle);

    /// \returns the time that the slowest body of the route takes from its first byte to its last; empty if none runs.
    std::optional<std::chrono::nanoseconds> slowest(const RouteName&, MonotonicTime now) const;

private:
    std::unordered_map<RouteName, std::list<Body>> m_bodies;
};

}
