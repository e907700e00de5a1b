#pragma once

#include <chrono>
#include <cstdint>

namespace carobpath::routing {

/// What the choice of an upstream rested on, for the log.
struct ChoiceBasis {
    /// Upstreams that could have been taken.
    std::uint32_t candidates = 0;
    /// Time since the view of the fleet was taken up that the candidates come from.
    std::chrono::nanoseconds viewAge {};
};

}
