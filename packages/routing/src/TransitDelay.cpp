#include "carobpath/routing/TransitDelay.h"

#include <algorithm>

namespace carobpath::routing {

MonotonicClock::duration TransitDelay::onMessage(const SendStamp& stamp, MonotonicTime now)
{
    const MonotonicClock::duration difference = now.time_since_epoch() - stamp.sentAt;
    const auto found = m_senders.find(stamp.node);
    if (found == m_senders.end() || found->second.incarnation != stamp.incarnation) {
        evictInactive(now);
        m_senders.insert_or_assign(stamp.node, Sender { stamp.incarnation, now, difference, difference });
        return {};
    }
    auto& sender = found->second;
    if (now - sender.windowStart >= s_window) {
        sender.previousMinDifference = sender.minDifference;
        sender.minDifference = difference;
        sender.windowStart = now;
    }
    sender.minDifference = std::min(sender.minDifference, difference);
    return difference - std::min(sender.minDifference, sender.previousMinDifference);
}

void TransitDelay::evictInactive(MonotonicTime now)
{
    if (m_senders.size() < s_maxSenders)
        return;
    std::erase_if(m_senders, [now](const auto& it) { return now - it.second.windowStart >= 2 * s_window; });
}

}
