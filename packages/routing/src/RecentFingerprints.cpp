#include "carobpath/routing/RecentFingerprints.h"

namespace carobpath::routing {

void RecentFingerprints::add(Fingerprint fingerprint, MonotonicTime now)
{
    m_last[fingerprint] = now;
    m_order.push_back({ fingerprint, now });
    if (m_order.size() <= s_maxEntries)
        return;
    const auto oldest = m_order.front();
    m_order.pop_front();
    // The request is kept if it was answered again later.
    if (const auto it = m_last.find(oldest.fingerprint); it->second == oldest.at)
        m_last.erase(it);
}

std::optional<MonotonicTime> RecentFingerprints::lastSeen(Fingerprint fingerprint) const
{
    const auto it = m_last.find(fingerprint);
    if (it == m_last.end())
        return std::nullopt;
    return it->second;
}

}
