#include "carobpath/routing/RunningCalls.h"

#include <algorithm>
#include <numeric>

namespace carobpath::routing {

namespace {

    bool isDownload(const RunningCall& it) { return queueClassOf(it.request) == QueueClass::Download; }

}

void RunningCalls::add(RunningCall call)
{
    m_downloads += isDownload(call) ? 1 : 0;
    m_innerCalls += call.request.isInner ? 1 : 0;
    auto id = call.request.id;
    m_calls.emplace(std::move(id), std::move(call));
}

std::optional<RunningCall> RunningCalls::remove(const RequestId& id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return std::nullopt;
    auto call = std::move(it->second);
    m_calls.erase(it);
    m_downloads -= isDownload(call) ? 1 : 0;
    m_innerCalls -= call.request.isInner ? 1 : 0;
    return call;
}

std::vector<Fingerprint> RunningCalls::fingerprints() const
{
    std::vector<Fingerprint> fingerprints;
    for (const auto& [id, it] : m_calls)
        fingerprints.push_back(it.request.fingerprint);
    return fingerprints;
}

bool RunningCalls::anyOf(const std::function<bool(const AdmissionRequest&)>& predicate) const
{
    return std::any_of(m_calls.begin(), m_calls.end(), [&](const auto& it) { return predicate(it.second.request); });
}

std::vector<std::chrono::nanoseconds> RunningCalls::remainingTimes(const ServiceTimes& times, MonotonicTime now) const
{
    std::vector<std::chrono::nanoseconds> remaining;
    remaining.reserve(m_calls.size());
    for (const auto& [id, it] : m_calls)
        remaining.push_back(remainingTime(it, times, now));
    return remaining;
}

std::vector<std::chrono::nanoseconds> RunningCalls::remainingTimes(const ServiceTimes& times, MonotonicTime now, QueueClass queueClass) const
{
    std::vector<std::chrono::nanoseconds> remaining;
    for (const auto& [id, it] : m_calls) {
        if (queueClassOf(it.request) == queueClass)
            remaining.push_back(remainingTime(it, times, now));
    }
    return remaining;
}

std::chrono::nanoseconds RunningCalls::remainingTime(const RunningCall& call, const ServiceTimes& times, MonotonicTime now)
{
    const auto expected = times.expected(queueClassOf(call.request));
    const auto minRemaining = std::chrono::duration_cast<std::chrono::nanoseconds>(expected * s_overdueRemainder);
    return std::max(expected - (now - call.dispatchedAt), minRemaining);
}

std::chrono::nanoseconds RunningCalls::remainingWork(const ServiceTimes& times, MonotonicTime now) const
{
    const auto remaining = remainingTimes(times, now);
    return std::accumulate(remaining.begin(), remaining.end(), std::chrono::nanoseconds {});
}

}
