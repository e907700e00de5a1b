#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace carobpath {

/// \returns the first delay, doubled the given number of times, but not more than the longest delay.
constexpr std::chrono::milliseconds exponentialDelay(
    std::chrono::milliseconds first, std::uint32_t doublings, std::chrono::milliseconds longest)
{
    auto delay = std::min(first, longest);
    for (std::uint32_t i = 0; i < doublings && delay < longest && delay.count() > 0; ++i)
        delay = delay > longest / 2 ? longest : delay * 2;
    return delay;
}

}
