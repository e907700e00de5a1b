#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Incarnation.h"
#include "carobpath/foundation/Time.h"

#include <chrono>
#include <unordered_map>

namespace carobpath::routing {

/// When a message was sent, by the sender's own monotonic clock. Readings of two nodes can't be compared; the difference
/// between two readings of one node can.
struct SendStamp {
    NodeName node;
    Incarnation incarnation;
    /// Since an origin of the sender's own.
    std::chrono::milliseconds sentAt {};
};

/// Tells how much longer than the quickest a message was under way from its sender. It answers links and nodes that are
/// full or frozen for a moment: the time that a call waits on its way belongs to the caller's deadline too.
///
/// The clocks of two nodes differ by an unknown offset that hardly changes. The smallest difference between arrival and
/// stamp within a while is taken as the offset of a message that did not wait.
class TransitDelay {
public:
    /// The smallest difference is remembered for one to two windows, so that clocks may drift.
    static constexpr std::chrono::seconds s_window { 10 };
    /// Senders that are remembered; past that the ones that were silent for two windows are forgotten.
    static constexpr std::size_t s_mostSenders = 2048;

    /// \returns the time that the message waited on its way; 0 for the first of a sender.
    MonotonicClock::duration onMessage(const SendStamp&, MonotonicTime now);

private:
    struct Sender {
        Incarnation incarnation;
        MonotonicTime windowStart;
        MonotonicClock::duration smallest {};
        MonotonicClock::duration smallestBefore {};
    };

    void forgetSilent(MonotonicTime now);

    std::unordered_map<NodeName, Sender> m_senders;
};

}
