#pragma once

/// \file
/// Merges the event logs of several processes into one time line.

#include "carobpath/foundation/HybridTime.h"

#include <cstddef>
#include <iosfwd>
#include <string>
#include <vector>

namespace carobpath::client {

inline constexpr std::size_t maximumTimelineEvents = 2'000'000;
inline constexpr std::size_t maximumTimelineLineBytes = 64UL * 1024;

/// One line of an event log.
struct TimelineEvent {
    HybridTime hybrid;
    std::string process;
    /// The line as it was written.
    std::string line;
};

enum class TimelineFaultKind {
    UnreadableFile,
    /// The line is no JSON object with "hybrid", "process" and "event", such as the last one of a process that was killed.
    TornLine,
    /// The events past the bound were left out.
    TooManyEvents,
};

struct TimelineFault {
    std::string file;
    /// Counted from 1; 0 where the fault is of the whole file.
    std::size_t line = 0;
    TimelineFaultKind kind = TimelineFaultKind::TornLine;
};

/// Collects events and puts them into causal order: by hybrid time, then by process, then as written.
class Timeline {
public:
    void read(std::istream&, const std::string& file);
    void readFile(const std::string& path);

    /// \returns all events in causal order.
    std::vector<TimelineEvent> takeSorted();
    const std::vector<TimelineFault>& faults() const { return m_faults; }

private:
    std::vector<TimelineEvent> m_events;
    std::vector<TimelineFault> m_faults;
};

/// \returns one line for people: time, process, event and its fields.
std::string describe(const TimelineEvent&);
std::string describe(const TimelineFault&);

}
