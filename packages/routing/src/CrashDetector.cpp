#include "carobpath/routing/CrashDetector.h"

namespace carobpath::routing {

namespace {

    void eraseOne(std::multiset<Fingerprint>& running, Fingerprint fingerprint)
    {
        if (const auto found = running.find(fingerprint); found != running.end())
            running.erase(found);
    }

}

void CrashDetector::onResult(
    BackendResult result, const RunningCall& ended, const RunningCalls& running, MonotonicTime now)
{
    switch (result) {
    case BackendResult::Answered:
    case BackendResult::ServerError:
        onAnswered(ended, now);
        break;
    case BackendResult::ConnectionLost:
        onLost(ended.request.fingerprint, running, now);
        break;
    case BackendResult::ConnectFailed:
        confirm(now);
        break;
    case BackendResult::Refused:
    case BackendResult::TimedOut:
    case BackendResult::Cancelled:
        break;
    }
}

void CrashDetector::onLost(Fingerprint lost, const RunningCalls& running, MonotonicTime now)
{
    if (m_suspicion && now - m_suspicion->since > s_maxConfirmTime)
        m_suspicion.reset();
    if (!m_suspicion) {
        auto inFlight = running.fingerprints();
        inFlight.push_back(lost);
        m_suspicion = Suspicion { now, { inFlight.begin(), inFlight.end() }, { inFlight.begin(), inFlight.end() }, 0 };
    }
    auto& it = *m_suspicion;
    ++it.lost;
    eraseOne(it.running, lost);
    if (it.lost >= 2 && it.running.empty() && now - it.since <= s_burstTime)
        confirm(now);
}

void CrashDetector::onAnswered(const RunningCall& call, MonotonicTime now)
{
    if (!m_suspicion)
        return;
    // A request that was sent before the first loss may have been answered just before the crash.
    if (call.dispatchedAt > m_suspicion->since || now - m_suspicion->since > s_burstTime) {
        m_suspicion.reset();
        return;
    }
    m_suspicion->suspects.erase(call.request.fingerprint);
    eraseOne(m_suspicion->running, call.request.fingerprint);
}

void CrashDetector::onRestarted(MonotonicTime now) { confirm(now); }

void CrashDetector::onProbeRefused(MonotonicTime now) { confirm(now); }

void CrashDetector::confirm(MonotonicTime now)
{
    if (!m_suspicion)
        return;
    const auto it = std::move(*m_suspicion);
    m_suspicion.reset();
    if (now - it.since <= s_maxConfirmTime && m_crashes.size() < s_maxCrashes)
        m_crashes.emplace_back(it.suspects.begin(), it.suspects.end());
}

std::optional<std::vector<Fingerprint>> CrashDetector::takeCrash()
{
    if (m_crashes.empty())
        return std::nullopt;
    auto crash = std::move(m_crashes.front());
    m_crashes.pop_front();
    return crash;
}

}
