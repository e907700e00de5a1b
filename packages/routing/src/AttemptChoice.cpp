// The choice of the attempts of a call: where each is sent, and with which deadlines.
#include "carobpath/routing/CallDecision.h"

#include "EntryState.h"
#include "carobpath/routing/AdmissionController.h"

#include <algorithm>
#include <utility>

namespace carobpath::routing {

namespace {

    /// A repeatable attempt gets the time left divided by this, so that an unresponsive node leaves time for another
    /// attempt.
    constexpr int attemptDivisor = 2;
    /// A repeatable attempt gets at least this multiple of the mean latency, so that a slow call is not cut short.
    constexpr int latencyFactor = 10;

    /// \returns the versions in service where their names are not known: a version that is not proven is not among them.
    VersionFilter allInService(const moves::TrafficSplit& split)
    {
        auto unproven = split.rejected;
        if (split.next)
            unproven.push_back(*split.next);
        return VersionFilter::allExcept(std::move(unproven));
    }

}

std::optional<SendAttempt> CallDecision::nextAttempt(MonotonicTime now)
{
    if (auto attempt = loadTestAttempt(now))
        return attempt;
    if (!m_state->policy.localDomainFirst)
        return pickAttempt(DomainScope::Any, now);
    if (leavesDomain(now)) {
        if (auto remote = pickAttempt(DomainScope::Remote, now))
            return remote;
    }
    if (m_localCandidates < m_state->maxLocalCandidates(m_service)) {
        if (auto local = pickAttempt(DomainScope::Local, now))
            return local;
    }
    // A download waits for a local node rather than crossing failure domains.
    const bool isDownload = m_route->trafficClass == publication::TrafficClass::Download;
    if (isDownload) {
        if (auto late = lateAttempt(now))
            return late;
    }
    if (auto remote = pickAttempt(DomainScope::Remote, now))
        return remote;
    return lateAttempt(now);
}

bool CallDecision::leavesDomain(MonotonicTime now)
{
    const bool isDownload = m_route->trafficClass == publication::TrafficClass::Download;
    if (!m_tried.empty() || isDownload)
        return false;
    const double share = m_state->balances[m_service].remoteShare(now);
    return share > 0 && m_state->picker.drawUnit() < share;
}

std::optional<SendAttempt> CallDecision::pickAttempt(DomainScope scope, MonotonicTime now)
{
    if (m_tried.size() >= m_state->policy.maxCandidates)
        return std::nullopt;
    const auto split = m_state->trafficSplitOf(m_service);
    const auto versions = versionsFor(split);
    const bool mayProbe = repeatable() && m_request.bodyReplayable && m_tried.empty();
    for (const bool allowEjected : { false, true }) {
        for (const auto& version : versions) {
            const PickConstraints constraints { m_tried, mayProbe, allowEjected, scope, {}, m_rank };
            const auto choice = m_state->picker.pick(m_service, version, constraints, now);
            if (!choice)
                continue;
            return beginAttempt(*choice, scope, split.next == choice->version, now);
        }
    }
    return std::nullopt;
}

std::vector<VersionFilter> CallDecision::versionsFor(const moves::TrafficSplit& split) const
{
    std::vector<VersionFilter> versions;
    if (m_wantsNext && split.next)
        versions.emplace_back(*split.next);
    // A call that was not drawn for the next version is never sent to it: the version is unproven beyond its share.
    versions.push_back(split.current.empty() ? allInService(split) : VersionFilter { split.current });
    return versions;
}

std::optional<std::chrono::milliseconds> CallDecision::untilAccepted(MonotonicTime now) const
{
    std::optional<std::chrono::milliseconds> shortest;
    for (const auto& version : versionsFor(m_state->trafficSplitOf(m_service))) {
        const auto wait = m_state->picker.untilAccepted(m_service, version, m_rank, now);
        if (!wait)
            continue;
        const auto bounded = std::max(AdmissionController::s_minRetryAfter, std::chrono::ceil<std::chrono::milliseconds>(*wait));
        shortest = std::min(shortest.value_or(bounded), bounded);
    }
    return shortest;
}

std::optional<SendAttempt> CallDecision::loadTestAttempt(MonotonicTime now)
{
    if (!m_wantsNext || !m_tried.empty())
        return std::nullopt;
    const auto split = m_state->trafficSplitOf(m_service);
    if (!split.next || split.loadTestNode.empty())
        return std::nullopt;
    const PickConstraints constraints { m_tried, false, true, DomainScope::Any, split.loadTestNode, m_rank };
    const auto choice = m_state->picker.pick(m_service, VersionFilter { *split.next }, constraints, now);
    if (!choice)
        return std::nullopt;
    return beginAttempt(*choice, DomainScope::Any, true, now);
}

SendAttempt CallDecision::beginAttempt(const UpstreamChoice& choice, DomainScope scope, bool toNext, MonotonicTime now)
{
    m_attempt = Attempt { choice.node, toNext, scope == DomainScope::Local, now };
    m_localCandidates += scope == DomainScope::Local ? 1 : 0;
    m_state->picker.onSent(choice.node, choice.probe);
    m_version = choice.version;
    auto attempt = attemptAt(choice, m_version, attemptDeadline(now));
    attempt.objective = objectiveFor(scope, now);
    attempt.inactivityTimeout = inactivityTimeout(now);
    return attempt;
}

std::optional<SendAttempt> CallDecision::lateAttempt(MonotonicTime now)
{
    if (!m_bestRefusedOffer || std::exchange(m_triedLate, true))
        return std::nullopt;
    auto attempt = m_bestRefusedOffer->attempt;
    attempt.mayBeLate = true;
    attempt.isFirstOfAll = false;
    attempt.number = static_cast<std::uint32_t>(m_tried.size() + 1);
    m_attempt = Attempt { attempt.node, false, false, now };
    m_state->picker.onSent(attempt.node, false);
    return attempt;
}

std::optional<MonotonicTime> CallDecision::objectiveFor(DomainScope scope, MonotonicTime now) const
{
    if (m_route->objective.count() == 0)
        return std::nullopt;
    // Only the parent waits for an inner call, until the deadline.
    const auto objective = m_isInner ? m_deadline : m_arrivedAt + m_route->objective - m_waitedBefore;
    const bool reservesRemoteTime = scope == DomainScope::Local && m_route->trafficClass != publication::TrafficClass::Download && objective > now;
    if (!reservesRemoteTime)
        return objective;
    return now + std::chrono::duration_cast<MonotonicClock::duration>((objective - now) * s_localDomainFraction);
}

SendAttempt CallDecision::attemptAt(const UpstreamChoice& choice, const VersionName& version, MonotonicTime deadline) const
{
    SendAttempt it;
    it.number = static_cast<std::uint32_t>(m_tried.size() + 1);
    it.isFirstOfAll = m_tried.empty() && m_waitedBefore.count() == 0;
    it.node = choice.node;
    it.calls = choice.calls;
    it.service = m_service;
    it.route = m_route->name;
    it.version = version;
    it.deadline = deadline;
    it.repeatability = m_route->repeatability;
    it.trafficClass = m_route->trafficClass;
    it.priority = m_rank;
    it.isInner = m_isInner;
    if (m_caller.workspace)
        it.workspace = m_caller.workspace->name;
    it.freshConnection = choice.freshConnection;
    it.knownCallsPerSecond = choice.callsPerSecond;
    it.basis = choice.basis;
    return it;
}

std::optional<std::chrono::milliseconds> CallDecision::inactivityTimeout(MonotonicTime now) const
{
    if (!repeatable())
        return std::nullopt;
    const auto part = std::chrono::duration_cast<std::chrono::milliseconds>((m_deadline - now) / s_inactivityDivisor);
    return std::max(s_minInactivityTimeout, part);
}

MonotonicTime CallDecision::attemptDeadline(MonotonicTime now) const
{
    const auto mean = m_state->picker.meanLatency();
    const bool last = m_backendsReached + 1 >= maxAttempts();
    if (!m_state->policy.splitDeadline || !repeatable() || !m_request.bodyReplayable || !mean || last)
        return m_deadline;
    const MonotonicClock::duration part = (m_deadline - now) / attemptDivisor;
    return std::min(m_deadline, now + std::max<MonotonicClock::duration>(part, *mean * latencyFactor));
}

}
