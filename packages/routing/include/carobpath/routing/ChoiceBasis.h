#pragma once

#include <chrono>
#include <cstdint>

namespace carobpath::routing {

/// Information on which an upstream was chosen, for the log.
struct ChoiceBasis {
    /// Number of upstreams that were eligible.
    std::uint32_t candidates = 0;
    /// Age of the membership view from which the candidates were taken.
    std::chrono::nanoseconds viewAge {};
};

}
