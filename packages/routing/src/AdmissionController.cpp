#include "carobpath/routing/AdmissionController.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace carobpath::routing {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds drainingRetryAfter { 200 };
    constexpr milliseconds noUpstreamRetryAfter { 1000 };

    Refusal notRun(RefusalReason reason, std::optional<milliseconds> retryAfter)
    {
        return { Outcome::NotRun, reason, retryAfter };
    }

    /// Extends the time by up to half, depending on the request, so that callers refused at the same moment do not all
    /// return at once.
    milliseconds spread(milliseconds time, const RequestId& id)
    {
        constexpr std::size_t steps = 64;
        const auto step = std::hash<RequestId> {}(id) % steps;
        return time + time * static_cast<int>(step) / static_cast<int>(2 * steps);
    }

    bool isTimed(BackendResult result)
    {
        return result == BackendResult::Answered || result == BackendResult::ServerError
            || result == BackendResult::TimedOut;
    }

}

AdmissionController::AdmissionController(AdmissionPolicy policy)
    : m_policy(policy)
    , m_downloads(policy.linkBytesPerSecond)
    , m_queue(policy.order)
{
    if (policy.speedMemory.count() > 0)
        m_speed.emplace(policy.speedMemory);
}

AdmissionCommands AdmissionController::onArrival(const AdmissionRequest& request, MonotonicTime now)
{
    AdmissionCommands commands;
    if (const auto refusal = refusalAtArrival(request, now)) {
        commands.push_back(Reject { request.id, *refusal });
        return commands;
    }
    if (request.knownCallsPerSecond && m_reported.onHint(*request.knownCallsPerSecond))
        m_rate.setRate(m_reported.callsPerSecond(), now);
    if (request.isInner)
        m_innerShare.onArrived(now);
    rejectExpired(commands, now);
    // The rate allows the next call at any time: those that wait are served before this one is looked at.
    if (m_rate.callsPerSecond())
        dispatchWaiting(commands, now);
    // A server that is down receives only single probe calls, which were granted above, until one is answered.
    if (m_health.isDown())
        dispatch(request, commands, now);
    else if (const auto refusal = refusalForInnerCalls(request, now))
        commands.push_back(Reject { request.id, *refusal });
    else
        enqueue(request, commands, now);
    return commands;
}

std::optional<Refusal> AdmissionController::refusalAtArrival(const AdmissionRequest& request, MonotonicTime now)
{
    if (!m_seen.insert(request.id))
        return Refusal { Outcome::Unknown, RefusalReason::DuplicateInProgress, std::nullopt };
    if (now >= request.deadline)
        return notRun(RefusalReason::DeadlineExceeded, std::nullopt);
    if (m_fingerprints.refusedFor) {
        if (const auto time = m_fingerprints.refusedFor(request.fingerprint, now))
            return notRun(RefusalReason::Quarantined, *time);
    }
    return refusalByState(request, now);
}

std::optional<Refusal> AdmissionController::refusalByState(const AdmissionRequest& request, MonotonicTime now)
{
    if (draining())
        return notRun(RefusalReason::Draining, spread(drainingRetryAfter, request.id));
    if (!m_upstream || m_upstream->service != request.service || m_upstream->version != request.version)
        return notRun(RefusalReason::NoUpstream, spread(noUpstreamRetryAfter, request.id));
    if (m_health.isDown() && (!m_rate.allows(now) || !m_health.tryProbe(request.repeatability, now)))
        return notRun(RefusalReason::UpstreamUnreachable, spread(BackendHealth::s_probeInterval, request.id));
    return std::nullopt;
}

void AdmissionController::enqueue(const AdmissionRequest& request, AdmissionCommands& commands, MonotonicTime now)
{
    const auto queueClass = queueClassOf(request);
    // A call that need not wait is always accepted, so that service times recover after a period of slow answers.
    if (m_queue.size(queueClass) == 0 && fits(request, now)) {
        dispatch(request, commands, now);
        return;
    }
    if (m_policy.order.byObjective && request.objective) {
        enqueueByObjective(request, commands, now);
        return;
    }
    const auto ready = now + expectedWait(queueClass, now) + m_times.expected(queueClass);
    if (m_policy.shedByWait && ready > request.deadline) {
        rejectForLoad(request, commands, now);
        return;
    }
    if (const auto displaced = m_queue.push(request, now))
        rejectForLoad(*displaced, commands, now);
    dispatchWaiting(commands, now);
}

void AdmissionController::enqueueByObjective(const AdmissionRequest& request, AdmissionCommands& commands, MonotonicTime now)
{
    m_times.setInitialEstimate(queueClassOf(request), (*request.objective - now) / s_initialEstimateDivisor);
    const auto service = expectedTime(request, now);
    const auto wait = expectedQueueTime(request, now);
    const auto maxLateWait = std::chrono::duration_cast<std::chrono::nanoseconds>(service * s_maxLateWaitFraction);
    const bool isInTime = now + wait + service <= *request.objective;
    const bool isAcceptablyLate = request.mayBeLate && wait <= maxLateWait && now + wait + service <= request.deadline;
    const bool isAccepted = isInTime || isAcceptablyLate;
    if (!isAccepted) {
        rejectForLoad(request, commands, now);
        return;
    }
    if (const auto displaced = m_queue.push(request, now))
        rejectForLoad(*displaced, commands, now);
    dispatchWaiting(commands, now);
}

UpstreamLoad AdmissionController::load(MonotonicTime now) const
{
    UpstreamLoad it;
    if (!m_upstream || draining())
        return it;
    it.calls = inFlight() + waiting();
    it.limit = limit();
    it.serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(reportedServiceTime(now));
    if (m_rate.callsPerSecond())
        it.rate = NamedRate { *m_rate.callsPerSecond(), std::chrono::ceil<milliseconds>(m_rate.untilAllowed(waiting(), now)) };
    return it;
}

std::chrono::nanoseconds AdmissionController::reportedServiceTime(MonotonicTime now) const
{
    const auto learned = m_speed ? m_speed->serviceTime(now) : std::nullopt;
    return learned.value_or(m_times.mean());
}

void AdmissionController::rejectForLoad(const AdmissionRequest& request, AdmissionCommands& commands, MonotonicTime now)
{
    m_seen.forget(request.id);
    if (m_innerCalls)
        m_innerCalls->onNotRun(request.route);
    if (request.isInner)
        m_innerShare.onDenied(now);
    commands.push_back(Reject { request.id, overloadRefusal(request, now) });
}

Refusal AdmissionController::overloadRefusal(const AdmissionRequest& request, MonotonicTime now) const
{
    const auto wait = std::chrono::ceil<milliseconds>(expectedWait(queueClassOf(request), now));
    const auto bounded = std::clamp(wait, s_minRetryAfter, s_maxRetryAfter);
    const auto reason = m_rate.allows(now) ? RefusalReason::Overloaded : RefusalReason::RateLimited;
    return notRun(reason, spread(bounded, request.id));
}

bool AdmissionController::fits(const AdmissionRequest& request, MonotonicTime now) const
{
    if (!m_upstream || m_running.size() >= std::min(m_limit.value(), m_upstream->connections) || !m_rate.allows(now))
        return false;
    if (!request.isInner && areSlotsKept(now))
        return false;
    const auto queueClass = queueClassOf(request);
    if (queueClass == QueueClass::Download && m_running.downloads() >= slotsFor(queueClass, now))
        return false;
    return !isSuspect(request) || !isOtherSuspectRunning(request);
}

void AdmissionController::dispatchWaiting(AdmissionCommands& commands, MonotonicTime now)
{
    if (m_health.isDown())
        return;
    rejectExpired(commands, now);
    rejectUnattainable(commands, now);
    const auto canDispatch = [this, now](const AdmissionRequest& it) { return fits(it, now); };
    while (const auto next = m_queue.pop(canDispatch, now))
        dispatch(*next, commands, now);
    rejectBeforeDeadline(commands, now);
}

void AdmissionController::dispatch(const AdmissionRequest& request, AdmissionCommands& commands, MonotonicTime now)
{
    m_running.add({ request, now });
    if (m_speed)
        m_speed->onRunning(m_running.size(), now);
    m_rate.onCall(now);
    if (m_innerCalls)
        m_innerCalls->onDispatched();
    commands.push_back(Dispatch { request.id });
}

AdmissionCommands AdmissionController::onFinished(const AdmissionResult& result, MonotonicTime now)
{
    AdmissionCommands commands;
    const auto inFlight = m_running.size();
    const auto running = m_running.remove(result.id);
    if (!running)
        return commands;
    if (m_speed)
        m_speed->onRunning(m_running.size(), now);
    recordResult(result, *running, inFlight, now);
    if (m_health.isDown())
        rejectAll(commands, RefusalReason::UpstreamUnreachable, BackendHealth::s_probeInterval);
    dispatchWaiting(commands, now);
    return commands;
}

void AdmissionController::recordResult(
    const AdmissionResult& result, const RunningCall& running, std::uint32_t inFlight, MonotonicTime now)
{
    if (isTimed(result.result))
        m_times.add(queueClassOf(running.request), result.serviceTime);
    if (result.result == BackendResult::Answered && queueClassOf(running.request) == QueueClass::Download) {
        m_downloads.onAnswered(result.bodyBytes, result.bodyTime, now);
        m_downloads.onHeader(result.serviceTime - result.bodyTime);
    }
    if (m_speed && result.result == BackendResult::Answered)
        m_speed->onCompleted(now);
    if (result.result == BackendResult::Refused)
        m_limit.onRefused(inFlight, now);
    if (result.result == BackendResult::Answered)
        m_limit.onAnswered(inFlight, wasLimiting(running, inFlight, now), now);
    recordInnerCalls(result, running, now);
    const bool wasDown = m_health.isDown();
    m_health.onResult(result.result, now);
    if (wasDown && !m_health.isDown() && m_upstream)
        m_limit.restart(*m_upstream);
    m_crashes.onResult(result.result, running, m_running, now);
}

bool AdmissionController::wasLimiting(const RunningCall& ended, std::uint32_t inFlight, MonotonicTime now) const
{
    const bool isDownload = queueClassOf(ended.request) == QueueClass::Download;
    const bool downloadsWereFull = isDownload && m_running.downloads() + 1 >= slotsFor(QueueClass::Download, now);
    return inFlight >= m_limit.value() || downloadsWereFull;
}

void AdmissionController::setFingerprintChecks(FingerprintChecks checks) { m_fingerprints = std::move(checks); }

bool AdmissionController::isSuspect(const AdmissionRequest& request) const
{
    return m_fingerprints.isSuspect && m_fingerprints.isSuspect(request.fingerprint);
}

bool AdmissionController::isOtherSuspectRunning(const AdmissionRequest& request) const
{
    return m_running.anyOf([&](const AdmissionRequest& it) {
        return it.fingerprint != request.fingerprint && isSuspect(it);
    });
}

AdmissionCommands AdmissionController::onCancelled(const RequestId& id, MonotonicTime now)
{
    AdmissionCommands commands;
    if (m_queue.remove(id))
        dispatchWaiting(commands, now);
    return commands;
}

AdmissionCommands AdmissionController::onTick(MonotonicTime now)
{
    AdmissionCommands commands;
    rejectExpired(commands, now);
    dispatchWaiting(commands, now);
    return commands;
}

void AdmissionController::rejectExpired(AdmissionCommands& commands, MonotonicTime now)
{
    for (const auto& it : m_queue.removeExpired(now))
        commands.push_back(Reject { it.id, notRun(RefusalReason::DeadlineExceeded, std::nullopt) });
}

void AdmissionController::rejectUnattainable(AdmissionCommands& commands, MonotonicTime now)
{
    for (const auto& it : m_queue.removeIf([&](const auto& waiting) { return isUnattainable(waiting.request, now); }))
        rejectForLoad(it, commands, now);
}

bool AdmissionController::isUnattainable(const AdmissionRequest& it, MonotonicTime now) const
{
    if (now + m_times.least(queueClassOf(it)) > it.deadline)
        return true;
    const bool hasToMeetObjective = m_policy.order.byObjective && it.objective && !it.mayBeLate;
    return hasToMeetObjective && now + expectedTime(it, now) > *it.objective;
}

void AdmissionController::rejectBeforeDeadline(AdmissionCommands& commands, MonotonicTime now)
{
    const auto isDue = [now](const AdmissionQueue::Waiting& it) {
        const MonotonicClock::duration halfOfTime = (it.request.deadline - it.arrivedAt) / 2;
        return now + std::min<MonotonicClock::duration>(s_refusalLead, halfOfTime) >= it.request.deadline;
    };
    for (const auto& it : m_queue.removeIf(isDue))
        rejectForLoad(it, commands, now);
}

void AdmissionController::rejectAll(AdmissionCommands& commands, RefusalReason reason, milliseconds retryAfter)
{
    for (const auto& it : m_queue.removeAll())
        commands.push_back(Reject { it.id, notRun(reason, spread(retryAfter, it.id)) });
}

AdmissionCommands AdmissionController::setUpstream(
    std::optional<membership::Upstream> upstream, MonotonicTime now, const membership::BackendRun& run)
{
    using membership::UpstreamState;
    AdmissionCommands commands;
    const bool sameServer = m_upstream && upstream && m_upstream->version == upstream->version
        && m_upstream->service == upstream->service
        && (upstream->state != UpstreamState::Cold || m_upstream->state == UpstreamState::Cold);
    if (m_upstream && !sameServer)
        m_crashes.onRestarted(now);
    const bool sameVersion = m_upstream && upstream && m_upstream->version == upstream->version;
    const bool wasCold = isCold();
    m_upstream = std::move(upstream);
    if (m_speed && (!sameServer || wasCold != isCold()))
        m_speed->restart(now);
    if (m_upstream)
        m_reported.setRun(run);
    m_rate.setRate(m_reported.callsPerSecond(), now);
    if (m_upstream && sameServer) {
        m_limit.update(*m_upstream);
    } else if (m_upstream) {
        m_limit.restart(*m_upstream);
        m_health.restart();
    }
    if (!m_upstream || !sameVersion)
        rejectAll(commands, RefusalReason::NoUpstream, noUpstreamRetryAfter);
    if (draining())
        rejectAll(commands, RefusalReason::Draining, drainingRetryAfter);
    dispatchWaiting(commands, now);
    return commands;
}

std::optional<AdmissionCommands> AdmissionController::onReport(
    const membership::BackendRun& run, const BackendReport& report, ReportSource source, MonotonicTime sentAt, MonotonicTime now)
{
    if (!m_reported.onReport(run, report, source, sentAt, now))
        return std::nullopt;
    m_rate.setRate(m_reported.callsPerSecond(), now);
    AdmissionCommands commands;
    if (draining())
        rejectAll(commands, RefusalReason::Draining, drainingRetryAfter);
    dispatchWaiting(commands, now);
    return commands;
}

void AdmissionController::onHealthHint(bool healthy, MonotonicTime now) { m_health.onHealthHint(healthy, now); }

void AdmissionController::onProbeRefused(MonotonicTime now) { m_crashes.onProbeRefused(now); }

AdmissionCommands AdmissionController::drain(MonotonicTime)
{
    AdmissionCommands commands;
    m_draining = true;
    rejectAll(commands, RefusalReason::Draining, drainingRetryAfter);
    return commands;
}

bool AdmissionController::draining() const
{
    const bool isServerLeaving = m_upstream && (m_upstream->state == membership::UpstreamState::Draining || m_reported.isLeaving());
    return m_draining || isServerLeaving;
}

std::optional<membership::Upstream> AdmissionController::upstream() const
{
    auto it = m_upstream;
    if (!it)
        return it;
    if (draining())
        it->state = membership::UpstreamState::Draining;
    else if (m_health.isDown())
        it->state = membership::UpstreamState::Down;
    it->callsPerSecond = m_rate.callsPerSecond();
    it->inFlight = inFlight();
    it->waiting = waiting();
    return it;
}

}
