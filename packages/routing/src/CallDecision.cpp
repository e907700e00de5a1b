#include "carobpath/routing/CallDecision.h"

#include "AttemptClassification.h"
#include "EntryState.h"

#include <algorithm>
#include <utility>

namespace carobpath::routing {

namespace {

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
    endBody();
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
    if (!m_caller.workspace || !m_caller.workspace->limit)
        return proceed(now);
    m_phase = Phase::AwaitingQuota;
    return AwaitQuota { m_caller.workspace->name };
}

CallCommand CallDecision::onQuotaVerdict(const quota::QuotaVerdict& verdict, MonotonicTime now)
{
    if (m_phase != Phase::AwaitingQuota)
        return m_final ? *m_final : refuse(RefusalReason::Cancelled);
    if (!verdict.isAdmitted)
        return refuse(RefusalReason::QuotaExceeded, m_state->spread(verdict.retryAfter));
    m_tookQuota = true;
    return now < m_deadline ? proceed(now) : refuse(RefusalReason::DeadlineExceeded);
}

CallCommand CallDecision::proceed(MonotonicTime now)
{
    drawDestination();
    if (isThrottled(now))
        return refuse(RefusalReason::Overloaded, m_state->spread(m_state->throttleOf(m_service).retryAfter(m_offerClass)));
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
    if (const auto reason = authenticate())
        return refusal(*reason);
    m_deadline = m_arrivedAt + std::min(m_route->timeout, m_request.callerTimeout.value_or(m_route->timeout));
    m_waitedBefore = timeUsedUp();
    if (now >= m_deadline)
        return refusal(RefusalReason::DeadlineExceeded);
    if (!m_state->quarantineSource)
        return std::nullopt;
    if (const auto time = m_state->quarantineSource(m_request.fingerprint, now))
        return Refusal { Outcome::NotRun, RefusalReason::Quarantined, *time };
    return std::nullopt;
}

std::optional<RefusalReason> CallDecision::authenticate()
{
    const auto access = access::accessOf(m_table->keys(), *m_route, m_request.apiKey);
    if (const auto* fault = std::get_if<access::AccessFault>(&access))
        return *fault == access::AccessFault::MissingKey ? RefusalReason::MissingKey : RefusalReason::UnknownKey;
    m_caller = std::get<access::Caller>(access);
    m_rank = access::rankOf(m_caller, *m_route);
    m_isInner = isTakenForInner();
    return std::nullopt;
}

bool CallDecision::isTakenForInner() const
{
    // Backend servers have no API key, and what they call is open to callers without one.
    const bool mayBeInner = m_table->keys().isInForce() && !m_request.apiKey;
    return mayBeInner && m_state->innerCalls && m_state->innerCalls->onEntered(m_route->name);
}

std::chrono::milliseconds CallDecision::timeUsedUp() const
{
    if (!m_request.callerTimeout || m_isInner)
        return {};
    auto& timeouts = m_state->callerTimeouts[m_route->name];
    if (!m_request.isOnNewConnection) {
        timeouts.onFirstTry(*m_request.callerTimeout);
        return {};
    }
    // A caller whose timeout is shorter than the route's is taken to have spent the difference waiting.
    const auto byRoute = std::max(m_route->timeout - *m_request.callerTimeout, std::chrono::milliseconds {});
    return timeouts.timeUsedUp(*m_request.callerTimeout).value_or(byRoute);
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

bool CallDecision::endsBeforeNode(MonotonicTime now) const
{
    if (!m_state->drainDeadline)
        return true;
    const auto found = m_state->answerTimes.find(m_route->name);
    const auto times = found == m_state->answerTimes.end() ? AnswerTimes {} : found->second;
    const auto expected = times.header.value();
    const auto headerAt = expected ? std::min(m_deadline, now + *expected) : m_deadline;
    const auto ofEnded = times.body.value().value_or(std::chrono::nanoseconds {});
    const auto ofRunning = m_state->runningBodies.slowest(m_route->name, now).value_or(std::chrono::nanoseconds {});
    return headerAt + std::max(ofEnded, ofRunning) <= *m_state->drainDeadline;
}

SendAttempt CallDecision::boundedByDrain(SendAttempt attempt) const
{
    if (m_state->drainDeadline)
        attempt.deadline = std::min(attempt.deadline, *m_state->drainDeadline);
    return attempt;
}

CallCommand CallDecision::sendFirst(MonotonicTime now)
{
    if (!endsBeforeNode(now))
        return refuse(RefusalReason::Draining);
    if (auto attempt = nextAttempt(now))
        return send(std::move(*attempt));
    const auto wait = untilAccepted(now);
    return wait ? refuse(RefusalReason::RateLimited, m_state->spread(*wait)) : refuse(RefusalReason::NoUpstream);
}

void CallDecision::recordRefusedOffer(const AttemptResult& result)
{
    if (!wasRefusedForLoad(result) || !result.retryAfter)
        return;
    if (!m_bestRefusedOffer || *result.retryAfter < m_bestRefusedOffer->wait)
        m_bestRefusedOffer = RefusedOffer { m_sent, *result.retryAfter };
}

std::optional<SendAttempt> CallDecision::resume(MonotonicTime now)
{
    const bool relayed = m_final && std::holds_alternative<RelayAnswer>(*m_final);
    if (!relayed || m_attempt || !repeatable() || !m_request.bodyReplayable || m_backendsReached >= maxAttempts())
        return std::nullopt;
    if (m_resumes++ >= s_maxResumes)
        return std::nullopt;
    const auto choice = m_state->picker.pick(m_service, m_version, PickConstraints { m_tried, false, false, DomainScope::Any, {}, m_rank }, now);
    if (!choice || !m_state->budgetOf(m_service).tryWithdraw(now))
        return std::nullopt;
    m_state->picker.onSent(choice->node, choice->probe);
    m_attempt = Attempt { choice->node, false, false, now };
    auto attempt = attemptAt(*choice, m_version, now + m_route->timeout);
    attempt.inactivityTimeout = inactivityTimeout(now);
    m_tried.push_back(choice->node);
    return boundedByDrain(std::move(attempt));
}

void CallDecision::onResumed(const AttemptResult& result, MonotonicTime now)
{
    if (!m_attempt)
        return;
    if (reachedBackend(result))
        ++m_backendsReached;
    m_state->observe({ m_attempt->node, reachabilityOf(result), now });
    closeAttempt(signalOf(result), result.latency, result.retryAfter.value_or(std::chrono::milliseconds {}), now);
}

CallCommand CallDecision::send(SendAttempt attempt)
{
    m_phase = Phase::Attempting;
    if (std::find(m_tried.begin(), m_tried.end(), attempt.node) == m_tried.end())
        m_tried.push_back(attempt.node);
    m_sent = boundedByDrain(std::move(attempt));
    return m_sent;
}

CallCommand CallDecision::onAttemptFinished(const AttemptResult& result, MonotonicTime now)
{
    if (m_phase != Phase::Attempting)
        return m_final ? *m_final : refuse(RefusalReason::Cancelled);
    recordAttempt(result, now);
    reportToThrottle(result, now);
    if (auto again = retry(result, now))
        return *again;
    if (result.outcome == Outcome::Ran) {
        m_headerAt = now;
        return relay();
    }
    return refuse(routing::reasonOf(result), result.retryAfter);
}

void CallDecision::recordAttempt(const AttemptResult& result, MonotonicTime now)
{
    reportToBalance(result, now);
    m_outcome = stronger(m_outcome, result.outcome);
    recordRefusedOffer(result);
    if (reasonOf(result) == RefusalReason::RateLimited && result.retryAfter)
        m_state->picker.onRateLimited(m_attempt->node, m_rank, *result.retryAfter, now);
    if (result.load)
        m_state->picker.onLoad(m_attempt->node, *result.load, now);
    if (reachedBackend(result))
        ++m_backendsReached;
    if (isBackendLoss(result))
        ++m_backendLosses;
    if (result.outcome == Outcome::Ran)
        m_state->answerTimes[m_route->name].header.add(result.latency);
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
    return otherUpstreamMayHelp(result) && m_request.bodyReplayable && now < m_deadline && endsBeforeNode(now);
}

std::optional<CallCommand> CallDecision::retry(const AttemptResult& result, MonotonicTime now)
{
    if (!mayRetry(result, now))
        return std::nullopt;
    if (wasRefusedForLoad(result) && (isThrottled(now) || !m_state->offerBudgetOf(m_service).tryWithdraw(now)))
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

std::optional<CallCommand> CallDecision::onNodeEnding(MonotonicTime now)
{
    if (m_phase == Phase::Ended)
        return std::nullopt;
    if (!m_attempt)
        return refuse(RefusalReason::Draining);
    m_outcome = stronger(m_outcome, Outcome::Unknown);
    closeAttempt(UpstreamSignal::Abandoned, {}, {}, now);
    return refuse(RefusalReason::UpstreamTimeout);
}

void CallDecision::onBodyBegun(std::uint64_t length, MonotonicTime now)
{
    m_body = m_state->runningBodies.begin(m_route->name, length, now);
}

void CallDecision::onBodyDelivered(std::uint64_t bytes)
{
    if (m_body)
        (*m_body)->delivered += bytes;
}

void CallDecision::endBody()
{
    if (const auto body = std::exchange(m_body, std::nullopt))
        m_state->runningBodies.end(m_route->name, *body);
}

void CallDecision::onAnswerWritten(MonotonicTime now)
{
    endBody();
    m_state->answerTimes[m_route->name].body.add(now - m_headerAt);
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
