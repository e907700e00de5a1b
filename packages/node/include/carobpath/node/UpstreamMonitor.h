#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/node/Announcement.h"

#include <optional>

namespace carobpath::node {

/// Decides what is known of the backend server beside this node: from its announcements, which are heartbeats too,
/// and from the calls that it was sent. An announcement alone does not bring a backend server up that refuses
/// connections: announcements may come from elsewhere than the work does.
class UpstreamMonitor {
public:
    /// Announcements come once a second; this many seconds without one mean that the backend server is gone or frozen.
    static constexpr std::chrono::seconds s_heartbeatTimeout { 5 };
    /// Connection failures in a row after which the backend server counts as down.
    static constexpr int s_failuresUntilDown = 2;
    /// How long it stays down after the last connection failure, unless a call succeeds.
    static constexpr std::chrono::seconds s_downTime { 2 };

    void onAnnouncement(const Announcement&, MonotonicTime now);
    void onConnectFailed(MonotonicTime now);
    void onAnswered();

    /// \returns what is to be told to other nodes; nothing before the first announcement.
    std::optional<membership::Upstream> upstream(MonotonicTime now) const;
    std::optional<Endpoint> backend() const;

private:
    bool isDown(MonotonicTime now) const;

    std::optional<Announcement> m_announcement;
    MonotonicTime m_announcedAt;
    MonotonicTime m_failedAt;
    int m_failures = 0;
};

}
