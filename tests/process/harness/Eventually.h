#pragma once

#include "Process.h"

#include <stdexcept>
#include <string>
#include <thread>

namespace carobpath::harness {

inline constexpr std::chrono::milliseconds probeInterval { 20 };

/// Repeats the probe until it is true. Throws after the bound.
template <typename Probe>
void eventually(const std::string& what, Probe probe, std::chrono::milliseconds bound = patience)
{
    const auto end = std::chrono::steady_clock::now() + bound;
    while (!probe()) {
        if (std::chrono::steady_clock::now() > end)
            throw std::runtime_error("never happens: " + what);
        std::this_thread::sleep_for(probeInterval);
    }
}

}
