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
class RouteEvidence {
public:
    /// Adds to the counts of one evidence window.
    void add(std::uint32_t evidenceWindow, bool isNew, const EvidenceCounts&);
    const WindowCounts& window(std::uint32_t evidenceWindow) const { return m_windows.at(evidenceWindow); }
    /// \returns the sum of the windows of the plan from the first to the one before the last, cautious or not.
    WindowCounts sum(std::uint32_t firstWindow, std::uint32_t endWindow) const;
    /// \returns the first latency class that counts as slow, from what the serving version did; the number of classes
    /// where it has too few calls to say.
    std::size_t slowClass() const { return m_slowClass; }

private:
    void updateSlowClass();

    std::array<WindowCounts, MovePlan::s_evidenceWindows> m_windows {};
    /// Sums of the windows before each window of the plan.
    std::array<WindowCounts, MovePlan::s_windows + 1> m_before {};
    std::size_t m_slowClass = latencyClasses;
};

/// What is counted against a version.
enum class RegressionKind : std::uint8_t {
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

/// \returns how often the calls were bad. \param slowClass the result of \c RouteEvidence::slowClass
Frequency frequencyOf(const EvidenceCounts&, RegressionKind, std::size_t slowClass);

}
