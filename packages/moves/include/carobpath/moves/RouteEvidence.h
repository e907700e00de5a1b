#pragma once

#include "carobpath/moves/Evidence.h"
#include "carobpath/moves/MovePlan.h"

#include <array>
#include <cstdint>

namespace carobpath::moves {

/// Merged counts of one route in one evidence window, for the version that serves and the one that is to serve.
struct WindowCounts {
    EvidenceCounts from;
    EvidenceCounts to;
};

/// Merged counts of one route over the whole move.
struct RouteEvidence {
    std::array<WindowCounts, MovePlan::s_evidenceWindows> windows {};

    /// \returns the sum of the windows of the plan from the first to the one before the last, cautious or not.
    WindowCounts sum(std::uint32_t firstWindow, std::uint32_t endWindow) const;
};

/// What is counted against a version.
enum class Badness : std::uint8_t {
    Failed,
    /// Slower than nine in ten calls of the version that serves.
    Slow,
};

/// How often something happened.
struct Frequency {
    std::uint64_t events = 0;
    std::uint64_t calls = 0;

    double rate() const { return calls == 0 ? 0.0 : static_cast<double>(events) / static_cast<double>(calls); }
};

/// \returns the first latency class that counts as slow, from what the serving version did; the number of classes
/// where it has too few calls to say.
std::size_t slowClassOf(const RouteEvidence&);

/// \returns how often the calls were bad. \param slowClass the result of \c slowClassOf
Frequency frequencyOf(const EvidenceCounts&, Badness, std::size_t slowClass);

}
