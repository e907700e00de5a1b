// The expected waits and times of the calls at an admitting node.
#include "carobpath/routing/AdmissionController.h"

#include "SlotForecast.h"

#include <algorithm>

namespace carobpath::routing {

std::chrono::nanoseconds AdmissionController::expectedTime(const AdmissionRequest& request, MonotonicTime now) const
{
    const auto queueClass = queueClassOf(request);
    const auto service = m_times.expected(queueClass);
    return queueClass == QueueClass::Download ? service + m_downloads.untilSent(now) : service;
}

std::chrono::nanoseconds AdmissionController::expectedQueueTime(const AdmissionRequest& request, MonotonicTime now) const
{
    const auto callsAhead = m_queue.callsAhead(request, now);
    SlotForecast forecast(m_running.remainingTimes(m_times, now), m_limit.value());
    for (const auto* it : callsAhead)
        forecast.take(m_times.expected(queueClassOf(*it)));
    const auto wait = std::max(forecast.untilFree(), m_rate.untilAllowed(callsAhead.size(), now));
    if (queueClassOf(request) != QueueClass::Download)
        return wait;
    return std::max(wait, waitForDownloadSlot(callsAhead, now));
}

std::chrono::nanoseconds AdmissionController::waitForDownloadSlot(const std::vector<const AdmissionRequest*>& callsAhead, MonotonicTime now) const
{
    SlotForecast forecast(m_running.remainingTimes(m_times, now, QueueClass::Download), std::max(1U, slotsFor(QueueClass::Download, now)));
    for (const auto* it : callsAhead) {
        if (queueClassOf(*it) == QueueClass::Download)
            forecast.take(m_times.expected(QueueClass::Download));
    }
    return std::max(forecast.untilFree(), m_downloads.untilAllowed(now));
}

std::optional<double> AdmissionController::innerCallLimit(const RouteName& route, MonotonicTime now) const
{
    return m_innerCalls ? m_innerCalls->callsPerSecond(route, now) : std::nullopt;
}

bool AdmissionController::areSlotsKept(MonotonicTime now) const
{
    const auto kept = m_innerShare.keptSlots(limit(), now);
    const auto used = std::min(kept, m_running.innerCalls());
    return m_running.size() + kept - used >= limit();
}

std::optional<Refusal> AdmissionController::refusalForInnerCalls(const AdmissionRequest& request, MonotonicTime now)
{
    if (!m_innerCalls)
        return std::nullopt;
    const auto time = m_innerCalls->refusedFor({ request.route, request.priority, request.deadline }, now);
    if (!time)
        return std::nullopt;
    m_seen.forget(request.id);
    return Refusal { Outcome::NotRun, RefusalReason::Overloaded, std::clamp(*time, s_minRetryAfter, s_maxRetryAfter) };
}

void AdmissionController::recordInnerCalls(const AdmissionResult& result, const RunningCall& running, MonotonicTime now)
{
    if (running.request.isInner && result.result == BackendResult::Answered)
        m_innerShare.onAnswered(result.serviceTime);
    if (!m_innerCalls)
        return;
    const bool hasFailed = result.result == BackendResult::ServerError || result.result == BackendResult::TimedOut;
    m_innerCalls->onFinished(running.request.route, running.dispatchedAt, hasFailed, now);
}

std::chrono::nanoseconds AdmissionController::expectedWait(QueueClass queueClass, MonotonicTime now) const
{
    auto work = m_running.remainingWork(m_times, now);
    std::size_t callsAhead = 0;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(queueClass); ++i) {
        const auto it = static_cast<QueueClass>(i);
        work += m_times.expected(it) * m_queue.size(it);
        callsAhead += m_queue.size(it);
    }
    const std::chrono::nanoseconds untilSlot = work / std::max(1U, slotsFor(queueClass, now));
    return std::max(untilSlot, m_rate.untilAllowed(callsAhead, now));
}

std::uint32_t AdmissionController::slotsFor(QueueClass queueClass, MonotonicTime now) const
{
    const auto limit = m_limit.value();
    if (queueClass != QueueClass::Download)
        return limit;
    const auto byLink = std::min(limit, m_downloads.value(now));
    if (m_policy.reservedFraction <= 0 || limit == 1)
        return byLink;
    const auto reserved = static_cast<std::uint32_t>(limit * m_policy.reservedFraction);
    return std::min(byLink, limit - std::clamp(reserved, 1U, limit - 1));
}

}
