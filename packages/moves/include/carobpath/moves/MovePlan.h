#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/publication/Objects.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace carobpath::moves {

/// The time plan of a move: windows of equal length from its start to its deadline, and the shares planned for them.
///
/// The last window has no end: it also counts calls that end after the deadline while the log is unavailable. Each window
/// has two evidence windows, one for calls split as planned and one for calls split cautiously, since rates are compared
/// only among calls with the same split.
class MovePlan {
public:
    static constexpr std::uint32_t s_windows = 16;
    static constexpr std::uint32_t s_evidenceWindows = 2 * s_windows;
    /// Maximum share of the new version in a cautious window.
    static constexpr double s_cautiousShare = 0.5;
    /// Share of the new version while its instances warm up.
    static constexpr double s_warmUpShare = 0.02;
    /// Latest window in which the last stage is entered if the member chose to finish on insufficient evidence.
    static constexpr std::uint32_t s_lastStageWindow = 12;

    MovePlan(WallTime startAt, WallTime deadline);

    WallTime startAt() const { return m_startAt; }
    WallTime deadline() const { return m_deadline; }
    std::chrono::milliseconds windowLength() const { return m_windowLength; }

    /// \returns the index of the window that contains the time; 0 before the start.
    std::uint32_t windowAt(WallTime) const;
    WallTime windowStart(std::uint32_t window) const;
    static constexpr std::uint32_t evidenceWindow(std::uint32_t window, bool isCautious) { return 2 * window + (isCautious ? 1 : 0); }

    /// Number of stages from the canary to the last; at least two.
    std::uint32_t stages() const { return static_cast<std::uint32_t>(m_shares.size()); }
    std::uint32_t lastStage() const { return stages() - 1; }
    double share(std::uint32_t stage) const { return m_shares.at(stage); }
    /// Number of initial windows in which the new version warms up: its latency is ignored and its share is smaller.
    std::uint32_t warmUpWindows() const { return m_warmUpWindows; }
    /// Time after its first call during which the latency of an instance of the new version is ignored.
    std::chrono::milliseconds instanceWarmUp() const;
    /// Planned minimum duration of a stage, in windows.
    std::uint32_t dwell() const { return m_dwell; }
    /// \returns the first window in which the stage may be entered.
    std::uint32_t plannedWindow(std::uint32_t stage) const { return stage == 0 ? 0 : m_warmUpWindows + stage * m_dwell - 1; }
    /// \returns the window in which the stage is entered on insufficient evidence if the member chose to finish then.
    std::uint32_t latestWindow(std::uint32_t stage) const { return s_lastStageWindow - (lastStage() - stage); }
    /// \returns the time at which the verdict is due, early enough to reach the log by the deadline.
    WallTime verdictDueAt() const;

private:
    WallTime m_startAt;
    WallTime m_deadline;
    std::chrono::milliseconds m_windowLength;
    std::uint32_t m_dwell = 2;
    std::uint32_t m_warmUpWindows = 1;
    std::vector<double> m_shares;
};

}
