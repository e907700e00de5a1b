#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Incarnation.h"
#include "carobpath/foundation/Time.h"

#include <chrono>
#include <unordered_map>

namespace carobpath::routing {

/// Time at which a message was sent, by the sender's monotonic clock. Readings of different nodes cannot be compared,
/// but the difference between two readings of one node is meaningful.
struct SendStamp {
    NodeName node;
    Incarnation incarnation;
    /// Time since an arbitrary origin of the sender.
    std::chrono::milliseconds sentAt {};
};

/// Measures how much longer a message was in transit than the fastest recent message of its sender. This detects links
/// that are congested and nodes that were paused for a moment: the time that a call spends in transit counts against
/// the caller's deadline too.
///
/// The clocks of two nodes differ by an unknown offset that hardly changes. The smallest difference between arrival
/// time and send time within the recent windows is taken as the offset for a message that did not wait.
class TransitDelay {
public:
    /// The smallest difference is remembered for one to two windows, which allows for clock drift.
    static constexpr std::chrono::seconds s_window { 10 };
    /// Number of stored senders from which a new one evicts those whose window began two windows ago or earlier. It does
    /// not limit the number of active senders.
    static constexpr std::size_t s_maxSenders = 2048;

    /// \returns the time that the message waited in transit; 0 for the first message of a sender.
    MonotonicClock::duration onMessage(const SendStamp&, MonotonicTime now);

private:
    struct Sender {
        Incarnation incarnation;
        MonotonicTime windowStart;
        MonotonicClock::duration minDifference {};
        MonotonicClock::duration previousMinDifference {};
    };

    void evictInactive(MonotonicTime now);

    std::unordered_map<NodeName, Sender> m_senders;
};

}
