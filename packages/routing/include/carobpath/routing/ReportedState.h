#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/membership/Announcement.h"
#include "carobpath/routing/BackendReport.h"

#include <optional>

namespace carobpath::routing {

/// Whether the answer that carries a report is the answer to a call that ran.
enum class ReportSource : std::uint8_t {
    Run,
    /// The backend server refused the call.
    Refusal,
};

/// What the backend server beside this node last reported about itself in its answers.
class ReportedState {
public:
    /// Sets the run that is announced. One that is new has reported nothing yet; one that fell silent and is announced again
    /// keeps what it reported.
    void setRun(const membership::BackendRun&);

    /// Handles the report of an answer. A limit holds until an answer to a call that was sent after the limit was last named, and
    /// that ran, names none: answers overtake each other, and an unreadable limit tells nothing. A server that is leaving stays
    /// so until its run ends.
    /// \param sentAt when the call was sent to the backend server.
    /// \returns whether the state changed.
    bool onReport(const membership::BackendRun&, const BackendReport&, ReportSource, MonotonicTime sentAt, MonotonicTime now);

    /// Sets the limit that another node knows of, until the first report of the run.
    /// \returns whether the state changed.
    bool onHint(double callsPerSecond);

    /// \returns the limit in calls per second; empty if there is none.
    const std::optional<double>& callsPerSecond() const { return m_callsPerSecond; }
    bool isLeaving() const { return m_isLeaving; }

private:
    std::optional<membership::BackendRun> m_run;
    std::optional<double> m_callsPerSecond;
    MonotonicTime m_namedAt {};
    bool m_hasReported = false;
    bool m_isLeaving = false;
};

}
