#include "carobpath/routing/CrashDetector.h"

namespace carobpath::routing {

CrashDetector::Finding CrashDetector::onConnectionLost(
    Fingerprint lost, std::span<const Fingerprint> running, MonotonicTime now)
{
    if (m_suspicion && now - m_suspicion->since > s_confirmWithin)
        m_suspicion.reset();
    if (!m_suspicion) {
        m_suspicion = Suspicion { now, { running.begin(), running.end() }, { running.begin(), running.end() }, 0 };
        m_suspicion->running.insert(lost);
        m_suspicion->suspects.insert(lost);
    }
    auto& it = *m_suspicion;
    ++it.lost;
    if (const auto found = it.running.find(lost); found != it.running.end())
        it.running.erase(found);
    if (it.lost >= 2 && it.running.empty() && now - it.since <= s_burst)
        return confirm(now);
    return std::nullopt;
}

CrashDetector::Finding CrashDetector::onConnectFailed(MonotonicTime now) { return confirm(now); }

CrashDetector::Finding CrashDetector::onRestarted(MonotonicTime now) { return confirm(now); }

void CrashDetector::onAnswered(Fingerprint fingerprint, MonotonicTime dispatchedAt, MonotonicTime now)
{
    if (!m_suspicion)
        return;
    if (dispatchedAt > m_suspicion->since || now - m_suspicion->since > s_burst) {
        m_suspicion.reset();
        return;
    }
    m_suspicion->suspects.erase(fingerprint);
    if (const auto found = m_suspicion->running.find(fingerprint); found != m_suspicion->running.end())
        m_suspicion->running.erase(found);
}

CrashDetector::Finding CrashDetector::confirm(MonotonicTime now)
{
    if (!m_suspicion)
        return std::nullopt;
    const auto it = std::move(*m_suspicion);
    m_suspicion.reset();
    if (now - it.since > s_confirmWithin)
        return std::nullopt;
    return std::vector<Fingerprint>(it.suspects.begin(), it.suspects.end());
}

}
