#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/node/Announcement.h"

#include <optional>

namespace carobpath::node {

/// Keeps what the backend server beside this node announced. An announcement is a heartbeat too: it lapses.
/// Whether the backend server does its work is not decided here but by the calls that it is sent.
class UpstreamMonitor {
public:
    /// Announcements come once a second; after this time without one the backend server is gone or frozen.
    static constexpr std::chrono::seconds s_heartbeatTimeout { 5 };

    /// \returns true where something else was announced than before.
    bool onAnnouncement(const Announcement&, MonotonicTime now);

    /// \returns true where the last announcement has lapsed by now.
    bool onTick(MonotonicTime now);

    /// \returns nothing before the first announcement and after one that lapsed.
    const std::optional<Announcement>& announcement() const { return m_announcement; }

private:
    std::optional<Announcement> m_announcement;
    MonotonicTime m_announcedAt;
};

}
