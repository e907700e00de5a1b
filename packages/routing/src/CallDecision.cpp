#include "carobpath/routing/CallDecision.h"

#include "AttemptClassification.h"
#include "EntryState.h"

#include <algorithm>
#include <utility>

namespace carobpath::routing {

namespace {

    /// A repeatable attempt gets the time left divided by this, so that an unresponsive node leaves time for another
    /// attempt.
    constexpr int attemptDivisor = 2;
    /// A repeatable attempt gets at least this multiple of the mean latency, so that a slow call is not cut short.
    constexpr int latencyFactor = 10;
    constexpr std::chrono::milliseconds duplicateRetryAfter { 500 };

    RefusalReason reasonOf(RouteLookupError miss)
    {
        switch (miss) {
        case RouteLookupError::UnknownHost:
            return RefusalReason::UnknownHost;
        case RouteLookupError::MethodNotAllowed:
            return RefusalReason::MethodNotAllowed;
        case RouteLookupError::UnknownRoute:
            break;
        }
        return RefusalReason::UnknownRoute;
    }

    Outcome stronger(Outcome a, Outcome b)
    {
        if (a == Outcome::Ran || b == Outcome::Ran)
            return Outcome::Ran;
        return a == Outcome::NotRun ? b : a;
    }

}

CallDecision::CallDecision(std::shared_ptr<EntryState> state, CallRequest request, MonotonicTime arrivedAt)
    : m_state(std::move(state))
    , m_request(std::move(request))
    , m_arrivedAt(arrivedAt)
    , m_deadline(arrivedAt)
{
}

CallDecision::~CallDecision()
{
    if (m_attempt)
        closeAttempt(UpstreamSignal::Abandoned, {}, {}, m_attempt->sentAt);
}

bool CallDecision::repeatable() const
{
    return m_route && m_route->repeatability == publication::Repeatability::Repeatable;
}

std::optional<Outcome> CallDecision::keyOutcome() const
{
    if (!m_keyClaimed || m_phase != Phase::Ended)
        return std::nullopt;
    return m_outcome;
}

std::optional<std::uint64_t> CallDecision::configurationOffset() const
{
    return m_table ? std::optional { m_table->configuration()->stamp.offset } : std::nullopt;
}

CallCommand CallDecision::start(MonotonicTime now)
{
    if (auto refusal = refusalAtArrival(now))
        return finish(AnswerRefusal { *refusal });
    drawDestination();
    m_state->budgetOf(m_service).onCall(now);
    m_state->offerBudgetOf(m_service).onCall(now);
    if (repeatable() || !m_request.idempotencyKey)
        return sendFirst(now);
    m_phase = Phase::AwaitingClaimResult;
    m_keyClaimed = true;
    return AwaitClaimResult { *m_request.idempotencyKey, m_route->name, m_deadline };
}

std::optional<Refusal> CallDecision::refusalAtArrival(MonotonicTime now)
{
    const auto refusal = [&](RefusalReason reason) {
        return Refusal { Outcome::NotRun, reason, defaultRetryAfter(reason, Outcome::NotRun, true) };
    };
    if (!m_state->ready || !m_state->table->configuration())
        return refusal(RefusalReason::NotReady);
    m_table = m_state->table;
    const auto found = m_table->find(m_request.host, m_request.method, m_request.path);
    if (const auto* miss = std::get_if<RouteLookupError>(&found))
        return refusal(reasonOf(*miss));
    m_route = std::get<RouteTable::Match>(found);
    m_deadline = m_arrivedAt + std::min(m_route->timeout, m_request.callerTimeout.value_or(m_route->timeout));
    if (now >= m_deadline)
        return refusal(RefusalReason::DeadlineExceeded);
    if (!m_state->quarantineSource)
        return std::nullopt;
    if (const auto time = m_state->quarantineSource(m_request.fingerprint, now))
        return Refusal { Outcome::NotRun, RefusalReason::Quarantined, *time };
    return std::nullopt;
}

void CallDecision::drawDestination()
{
    m_service = m_state->destinationOf(*m_route);
    const auto split = m_state->trafficSplitOf(m_service);
    m_wantsNext = split.next && m_state->picker.drawUnit() < split.nextShare;
}

std::uint32_t CallDecision::maxAttempts() const
{
    return m_route->maxAttempts > 0 ? m_route->maxAttempts : s_maxAttempts;
}

CallCommand CallDecision::sendFirst(MonotonicTime now)
{
    if (auto attempt = nextAttempt(now))
        return send(std::move(*attempt));
    return refuse(RefusalReason::NoUpstream);
}

std::optional<SendAttempt> CallDecision::nextAttempt(MonotonicTime now)
{
    if (auto attempt = loadTestAttempt(now))
        return attempt;
    if (!m_state->policy.localDomainFirst)
        return pickAttempt(DomainScope::Any, now);
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

std::optional<SendAttempt> CallDecision::pickAttempt(DomainScope scope, MonotonicTime now)
{
    if (m_tried.size() >= m_state->policy.maxCandidates)
        return std::nullopt;
    const auto split = m_state->trafficSplitOf(m_service);
    std::vector<VersionFilter> versions;
    if (m_wantsNext && split.next)
        versions.emplace_back(*split.next);
    // A call that was not drawn for the next version is never sent to it: the version is unproven beyond its share.
    versions.push_back(split.current.empty() ? VersionFilter::allExcept(split.next.value_or(VersionName {})) : VersionFilter { split.current });
    const bool mayProbe = repeatable() && m_request.bodyReplayable && m_tried.empty();
    for (const bool allowEjected : { false, true }) {
        for (const auto& version : versions) {
            const PickConstraints constraints { m_tried, mayProbe, allowEjected, scope, {} };
            const auto choice = m_state->picker.pick(m_service, version, constraints, now);
            if (!choice)
                continue;
            return beginAttempt(*choice, scope, split.next == choice->version, now);
        }
    }
    return std::nullopt;
}

std::optional<SendAttempt> CallDecision::loadTestAttempt(MonotonicTime now)
{
    if (!m_wantsNext || !m_tried.empty())
        return std::nullopt;
    const auto split = m_state->trafficSplitOf(m_service);
    if (!split.next || split.loadTestNode.empty())
        return std::nullopt;
    const PickConstraints constraints { m_tried, false, true, DomainScope::Any, split.loadTestNode };
    const auto choice = m_state->picker.pick(m_service, VersionFilter { *split.next }, constraints, now);
    if (!choice)
        return std::nullopt;
    return beginAttempt(*choice, DomainScope::Any, true, now);
}

SendAttempt CallDecision::beginAttempt(const UpstreamChoice& choice, DomainScope scope, bool toNext, MonotonicTime now)
{
    m_attempt = Attempt { choice.node, toNext, now };
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
    attempt.number = static_cast<std::uint32_t>(m_tried.size() + 1);
    m_attempt = Attempt { attempt.node, false, now };
    m_state->picker.onSent(attempt.node, false);
    return attempt;
}

void CallDecision::recordRefusedOffer(const AttemptResult& result)
{
    if (!wasRefusedForLoad(result) || !result.retryAfter)
        return;
    if (!m_bestRefusedOffer || *result.retryAfter < m_bestRefusedOffer->wait)
        m_bestRefusedOffer = RefusedOffer { m_sent, *result.retryAfter };
}

std::optional<MonotonicTime> CallDecision::objectiveFor(DomainScope scope, MonotonicTime now) const
{
    if (m_route->objective.count() == 0)
        return std::nullopt;
    // A caller whose timeout is shorter than the route's has already spent the difference waiting.
    const auto waited = std::max<MonotonicClock::duration>(m_arrivedAt + m_route->timeout - m_deadline, {});
    const auto objective = m_arrivedAt + m_route->objective - waited;
    const bool reservesRemoteTime = scope == DomainScope::Local && m_route->trafficClass != publication::TrafficClass::Download && objective > now;
    if (!reservesRemoteTime)
        return objective;
    return now + std::chrono::duration_cast<MonotonicClock::duration>((objective - now) * s_localDomainFraction);
}

SendAttempt CallDecision::attemptAt(const UpstreamChoice& choice, const VersionName& version, MonotonicTime deadline) const
{
    SendAttempt it;
    it.number = static_cast<std::uint32_t>(m_tried.size() + 1);
    it.node = choice.node;
    it.calls = choice.calls;
    it.service = m_service;
    it.route = m_route->name;
    it.version = version;
    it.deadline = deadline;
    it.repeatability = m_route->repeatability;
    it.trafficClass = m_route->trafficClass;
    it.priority = m_route->priority;
    it.freshConnection = choice.freshConnection;
    it.basis = choice.basis;
    return it;
}

std::optional<SendAttempt> CallDecision::resume(MonotonicTime now)
{
    const bool relayed = m_final && std::holds_alternative<RelayAnswer>(*m_final);
    if (!relayed || m_attempt || !repeatable() || !m_request.bodyReplayable || m_tried.size() >= s_maxAttempts)
        return std::nullopt;
    const auto choice = m_state->picker.pick(m_service, m_version, PickConstraints { m_tried, false, false, DomainScope::Any, {} }, now);
    if (!choice || !m_state->budgetOf(m_service).tryWithdraw(now))
        return std::nullopt;
    m_state->picker.onSent(choice->node, choice->probe);
    m_attempt = Attempt { choice->node, false, now };
    auto attempt = attemptAt(*choice, m_version, now + m_route->timeout);
    attempt.inactivityTimeout = inactivityTimeout(now);
    m_tried.push_back(choice->node);
    return attempt;
}

void CallDecision::onResumed(const AttemptResult& result, MonotonicTime now)
{
    if (!m_attempt)
        return;
    m_state->observe({ m_attempt->node, reachabilityOf(result), now });
    closeAttempt(signalOf(result), result.latency, result.retryAfter.value_or(std::chrono::milliseconds {}), now);
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
    const bool last = m_tried.size() + 1 >= s_maxAttempts;
    if (!m_state->policy.splitDeadline || !repeatable() || !m_request.bodyReplayable || !mean || last)
        return m_deadline;
    const MonotonicClock::duration part = (m_deadline - now) / attemptDivisor;
    return std::min(m_deadline, now + std::max<MonotonicClock::duration>(part, *mean * latencyFactor));
}

CallCommand CallDecision::send(SendAttempt attempt)
{
    m_phase = Phase::Attempting;
    if (std::find(m_tried.begin(), m_tried.end(), attempt.node) == m_tried.end())
        m_tried.push_back(attempt.node);
    m_sent = attempt;
    return attempt;
}

CallCommand CallDecision::onAttemptFinished(const AttemptResult& result, MonotonicTime now)
{
    if (m_phase != Phase::Attempting)
        return m_final ? *m_final : refuse(RefusalReason::Cancelled);
    recordAttempt(result, now);
    if (auto again = retry(result, now))
        return *again;
    if (result.outcome == Outcome::Ran)
        return relay();
    return refuse(routing::reasonOf(result), result.retryAfter);
}

void CallDecision::recordAttempt(const AttemptResult& result, MonotonicTime now)
{
    m_outcome = stronger(m_outcome, result.outcome);
    recordRefusedOffer(result);
    if (result.load)
        m_state->picker.onLoad(m_attempt->node, *result.load, now);
    if (reachedBackend(result))
        ++m_backendsReached;
    if (isBackendLoss(result))
        ++m_backendLosses;
    if (signalOf(result) != UpstreamSignal::Abandoned)
        m_state->observe({ m_attempt->node, reachabilityOf(result), now });
    // After a failure on the next version, the call is not retried on that version.
    m_wantsNext = m_wantsNext && !m_attempt->toNext;
    closeAttempt(signalOf(result), result.latency, result.retryAfter.value_or(std::chrono::milliseconds {}), now);
}

void CallDecision::closeAttempt(
    UpstreamSignal signal, std::chrono::nanoseconds latency, std::chrono::milliseconds cooldown, MonotonicTime now)
{
    m_state->picker.onFinished(m_attempt->node, signal, latency, cooldown, now);
    m_attempt.reset();
}

bool CallDecision::mayRetry(const AttemptResult& result, MonotonicTime now) const
{
    if (!repeatable() && result.outcome != Outcome::NotRun)
        return false;
    if (m_backendLosses >= s_maxBackendLosses || m_backendsReached >= maxAttempts())
        return false;
    return otherUpstreamMayHelp(result) && m_request.bodyReplayable && now < m_deadline;
}

std::optional<CallCommand> CallDecision::retry(const AttemptResult& result, MonotonicTime now)
{
    if (!mayRetry(result, now))
        return std::nullopt;
    if (wasRefusedForLoad(result) && !m_state->offerBudgetOf(m_service).tryWithdraw(now))
        return std::nullopt;
    auto attempt = nextAttempt(now);
    if (!attempt)
        return std::nullopt;
    if (causedNoLoad(result) || m_state->budgetOf(m_service).tryWithdraw(now))
        return send(std::move(*attempt));
    closeAttempt(UpstreamSignal::Abandoned, {}, {}, now);
    if (result.outcome == Outcome::Ran)
        return std::nullopt;
    return refuse(RefusalReason::RetryBudgetExhausted, result.retryAfter);
}

CallCommand CallDecision::onClaimResult(const ClaimResult& claim, MonotonicTime now)
{
    if (m_phase != Phase::AwaitingClaimResult)
        return m_final ? *m_final : refuse(RefusalReason::Cancelled);
    switch (claim.answer) {
    case ClaimStatus::Granted:
        return now < m_deadline ? sendFirst(now) : refuse(RefusalReason::DeadlineExceeded);
    case ClaimStatus::Unavailable:
        return refuse(RefusalReason::IdempotencyUnavailable, claim.retryAfter);
    // The call with this key ran or may have run. Reporting it as not run would invite the caller to run it twice.
    case ClaimStatus::DuplicateInProgress:
        m_keyClaimed = false;
        m_outcome = Outcome::Unknown;
        return refuse(RefusalReason::DuplicateInProgress, claim.retryAfter.value_or(duplicateRetryAfter));
    case ClaimStatus::DuplicateRan:
        break;
    }
    m_keyClaimed = false;
    m_outcome = Outcome::Ran;
    return refuse(RefusalReason::DuplicateRan);
}

std::optional<CallCommand> CallDecision::onDeadline(MonotonicTime now)
{
    if (m_phase == Phase::Ended || now < m_deadline)
        return std::nullopt;
    if (m_attempt) {
        m_outcome = stronger(m_outcome, Outcome::Unknown);
        const auto node = m_attempt->node;
        const auto time = now - m_attempt->sentAt;
        const bool unresponsive = time >= minInactivityTime;
        if (unresponsive)
            m_state->observe({ node, NodeReachability::Unresponsive, now });
        closeAttempt(unresponsive ? UpstreamSignal::Lost : UpstreamSignal::Abandoned, time, {}, now);
    }
    return refuse(RefusalReason::DeadlineExceeded);
}

void CallDecision::onCallerGone(MonotonicTime now)
{
    if (m_phase == Phase::Ended)
        return;
    if (m_attempt) {
        m_outcome = stronger(m_outcome, Outcome::Unknown);
        closeAttempt(UpstreamSignal::Abandoned, {}, {}, now);
    }
    refuse(RefusalReason::Cancelled);
}

CallCommand CallDecision::relay() { return finish(RelayAnswer {}); }

CallCommand CallDecision::refuse(RefusalReason reason, std::optional<std::chrono::milliseconds> retryAfter)
{
    const auto defaultDelay = defaultRetryAfter(reason, m_outcome, repeatable());
    if (!retryAfter && defaultDelay)
        retryAfter = m_state->spread(*defaultDelay);
    return finish(AnswerRefusal { Refusal { m_outcome, reason, retryAfter } });
}

CallCommand CallDecision::finish(CallCommand command)
{
    m_phase = Phase::Ended;
    m_final = command;
    return command;
}

}
