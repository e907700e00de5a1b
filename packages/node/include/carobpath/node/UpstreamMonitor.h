#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/node/Announcement.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace carobpath::node {

/// What became of an announcement.
enum class AnnouncementVerdict : std::uint8_t {
    /// It says something else than the one before.
    Changed,
    /// A heartbeat.
    Unchanged,
    /// It is of a run that has ended, or was overtaken by a later one.
    Late,
    /// It is not of the backend server beside this node.
    Foreign,
    /// Its run may have left before this node started; it is taken once the node knows that it has not.
    Held,
};

/// The backend server that belongs beside a node. Empty parts are not checked.
struct ExpectedBackend {
    ServiceName service;
    std::optional<Endpoint> endpoint;
};

/// Keeps what the backend server beside this node announced. An announcement is a heartbeat too: it lapses.
/// Whether the backend server does its work is not decided here but by the calls that it is sent.
class UpstreamMonitor {
public:
    /// Announcements come every second or two; after this time without one the backend server is gone or frozen.
    static constexpr std::chrono::seconds s_heartbeatTimeout { 5 };

    /// A node that cannot learn which runs have left takes what is announced after this time.
    static constexpr std::chrono::seconds s_departuresTimeout { 2 };

    explicit UpstreamMonitor(ExpectedBackend expected = {})
        : m_expected(std::move(expected))
    {
    }

    /// Holds announcements of runs that started before this node, until \c onDepartures or \c s_departuresTimeout.
    void awaitDepartures(MonotonicTime now, WallTime wallNow);

    /// Runs that have left, as acknowledged before this node started. Each stands for the runs of its instance that started then
    /// or earlier: they may still say that they drain, and nothing else. A run without a start is passed over.
    /// \returns whether \c announcement has changed.
    bool onDepartures(const std::vector<membership::BackendRun>&, MonotonicTime now);

    AnnouncementVerdict onAnnouncement(const Announcement&, MonotonicTime now);

    /// The backend server says that this run of it ends. No announcement of it is taken any more, be it that a node which
    /// has started a moment ago hears of the run for the first time.
    /// \param wallNow a run of the name that started later is another one, where the departure does not say which it is.
    /// \returns whether it was the run that is held; it is then forgotten.
    bool onDeparture(const membership::BackendRun&, WallTime wallNow);

    /// \returns true where the last announcement has lapsed by now.
    bool onTick(MonotonicTime now);

    /// \returns whether a held announcement is taken, since the departures were waited for long enough.
    bool takeHeld(MonotonicTime now);

    /// \returns nothing before the first announcement and after one that lapsed.
    const std::optional<Announcement>& announcement() const { return m_announcement; }

private:
    bool isForeign(const Announcement&) const;
    bool isLate(const Announcement&) const;
    /// \returns whether the run left before this node started, and the announcement says otherwise.
    bool hasDepartedBefore(const Announcement&) const;
    bool mayHaveDepartedBefore(const Announcement&, MonotonicTime now) const;
    bool releaseHeld(MonotonicTime now);

    ExpectedBackend m_expected;
    std::optional<Announcement> m_announcement;
    MonotonicTime m_announcedAt;
    /// The run that departed last.
    std::optional<membership::BackendRun> m_departed;
    /// The run that departed last without having been held; it started then or earlier.
    std::optional<membership::BackendRun> m_departedUnseen;
    /// Start of the latest run that left before this node started, by instance.
    std::map<std::string, WallTime> m_departedBefore;
    /// Set while the departures are not known.
    std::optional<MonotonicTime> m_departuresDueAt;
    WallTime m_startedAt {};
    std::optional<Announcement> m_held;
    /// The newest announcement that was taken, kept after it has lapsed: what came before it stays overtaken.
    std::optional<membership::BackendRun> m_newestRun;
    std::optional<std::uint64_t> m_newestSequence;
};

}
