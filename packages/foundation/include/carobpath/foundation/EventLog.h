#pragma once

#include "carobpath/foundation/Event.h"
#include "carobpath/foundation/HybridClock.h"
#include "carobpath/foundation/Incarnation.h"
#include "carobpath/foundation/LineRate.h"
#include "carobpath/foundation/Time.h"

#include <functional>
#include <map>
#include <ostream>
#include <string>
#include <string_view>

namespace carobpath {

/// \returns the wall clock in the time line's resolution.
WallTime wallNow();

/// \returns RFC 3339 in UTC with milliseconds, such as "2026-12-03T22:50:00.123Z".
std::string toString(WallTime);

/// Writes the time line of one process: one JSON object a line, flushed at once.
/// The shape is in docs/INTERFACES.md. Not safe for concurrent use.
///
/// Each kind of event has a rate of its own. A line that was left out, or that the output did not take, is counted, and
/// the next line of its kind tells the count as "leftOut".
class EventLog {
public:
    using Clock = std::function<WallTime()>;

    /// \param process such as "node/booking-1".
    EventLog(std::ostream& out, std::string process, Incarnation, HybridClock&, Clock = wallNow);

    /// Ticks the hybrid clock and writes the event. \returns the time that the event got.
    HybridTime record(const Event&);

private:
    void write(const Event&, WallTime, HybridTime, std::uint64_t leftOut, LineRate&);

    std::ostream& m_out;
    std::string m_process;
    Incarnation m_incarnation;
    HybridClock& m_hybridClock;
    Clock m_clock;
    std::map<std::string_view, LineRate> m_rates;
};

}
