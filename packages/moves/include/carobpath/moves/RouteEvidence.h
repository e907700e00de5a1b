#pragma once

#include "carobpath/moves/Evidence.h"
#include "carobpath/moves/MovePlan.h"

#include <array>
#include <cstdint>

namespace carobpath::moves {

/// Merged counts of one route in one evidence window, for the serving version and the new one.
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
    /// \returns the sum over the plan's windows [firstWindow, endWindow), both planned and cautious.
    WindowCounts sum(std::uint32_t firstWindow, std::uint32_t endWindow) const;
    /// \returns the first latency class that counts as slow, derived from the latency of the serving version;
    /// \c latencyClasses while that version has too few calls.
    std::size_t slowClass() const { return m_slowClass; }

private:
    void updateSlowClass();

    std::array<WindowCounts, MovePlan::s_evidenceWindows> m_windows {};
    /// Sums over the windows before each window of the plan.
    std::array<WindowCounts, MovePlan::s_windows + 1> m_prefixSums {};
    std::size_t m_slowClass = latencyClasses;
};

/// The kinds of regression that are counted against a version.
enum class RegressionKind : std::uint8_t {
    Failed,
    /// Slower than nine in ten calls of the serving version.
    Slow,
};

/// Number of events among a number of calls.
struct Frequency {
    std::uint64_t events = 0;
    std::uint64_t calls = 0;

    double rate() const { return calls == 0 ? 0.0 : static_cast<double>(events) / static_cast<double>(calls); }
};

/// \returns how many of the calls count as this kind of regression. \param slowClass the result of \c RouteEvidence::slowClass
Frequency frequencyOf(const EvidenceCounts&, RegressionKind, std::size_t slowClass);

}
