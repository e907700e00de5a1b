#include "carobpath/capacity/InnerCalls.h"

namespace carobpath::capacity {

bool InnerCalls::onEntered(const RouteName& route) { return m_routes.onEntered(route, m_running); }

void InnerCalls::onEnded(InnerCallEnd end, MonotonicTime now)
{
    if (end == InnerCallEnd::Other)
        return;
    const bool isDenied = end == InnerCallEnd::Denied;
    m_denied.add(isDenied, now);
    if (end != InnerCallEnd::Answered)
        m_deniedOfUnanswered.add(isDenied, now);
    if (isDenied)
        m_lastDeniedAt = now;
}

std::optional<std::chrono::milliseconds> InnerCalls::refusedFor(const ParentCall& call, MonotonicTime now)
{
    const auto found = m_limits.find(call.route);
    if (found == m_limits.end())
        return std::nullopt;
    auto& [limit, returns] = found->second;
    if (limit.tryAdmit(now))
        return std::nullopt;
    const std::chrono::duration<double> interval { 1 / limit.callsPerSecond(now).value() };
    return returns.place({ call.rank, limit.untilAdmitted(now), call.deadline }, interval, now);
}

void InnerCalls::onNotRun(const RouteName& route)
{
    if (const auto found = m_limits.find(route); found != m_limits.end())
        found->second.limit.giveBack();
}

bool InnerCalls::onFinished(const RouteName& route, MonotonicTime dispatchedAt, bool hasFailed, MonotonicTime now)
{
    m_running -= m_running > 0 ? 1 : 0;
    const bool isWasted = hasFailed && hasDeniedSince(dispatchedAt);
    auto found = m_limits.find(route);
    if (found == m_limits.end()) {
        if (!isWasted)
            return false;
        found = m_limits.emplace(route, Limited {}).first;
    }
    auto& limit = found->second.limit;
    limit.onEnded(dispatchedAt, isWasted ? m_deniedOfUnanswered.value() : 0, m_denied.value(), now);
    if (!limit.callsPerSecond(now) && now - limit.lastWasteAt() > s_limitMemory)
        m_limits.erase(found);
    return isWasted;
}

std::optional<double> InnerCalls::callsPerSecond(const RouteName& route, MonotonicTime now) const
{
    const auto found = m_limits.find(route);
    return found == m_limits.end() ? std::nullopt : found->second.limit.callsPerSecond(now);
}

}
