#include "internal/EntryCall.h"

#include "internal/ForwardedHeader.h"
#include "internal/ObservedBody.h"

#include <type_traits>
#include <utility>

namespace carobpath::gateway::Detail {

namespace {

    /// A caller that waited for this part of its time and left found no answer in it.
    constexpr double patiencePart = 0.9;
    constexpr unsigned firstServerError = 500;

    routing::AttemptResult failedAttempt(routing::Outcome outcome, routing::RefusalReason reason)
    {
        routing::AttemptResult result;
        result.outcome = outcome;
        result.reason = reason;
        return result;
    }

    routing::AttemptResult resultOfHeader(const UpstreamExchange& exchange)
    {
        const auto& header = exchange.header();
        routing::AttemptResult result;
        result.outcome = outcomeOf(header).value_or(routing::Outcome::Unknown);
        result.reason = reasonOf(header);
        result.status = header.result_int();
        result.retryAfter = milliseconds(header, HeaderName::retryAfterMs);
        result.load = loadOf(header);
        return result;
    }

    routing::AttemptResult resultOfFailure(ExchangeFailure failure)
    {
        using routing::Outcome;
        using routing::RefusalReason;
        switch (failure) {
        case ExchangeFailure::ConnectFailed:
            return failedAttempt(Outcome::NotRun, RefusalReason::UpstreamUnreachable);
        case ExchangeFailure::TimedOut:
            return failedAttempt(Outcome::Unknown, RefusalReason::UpstreamTimeout);
        case ExchangeFailure::Cancelled:
            return failedAttempt(Outcome::Unknown, RefusalReason::Cancelled);
        case ExchangeFailure::ConnectionLost:
        case ExchangeFailure::Silent:
        case ExchangeFailure::Mismatched:
            return failedAttempt(Outcome::Unknown, RefusalReason::UpstreamConnectionLost);
        }
        return failedAttempt(Outcome::Unknown, RefusalReason::UpstreamConnectionLost);
    }

}

EntryCall::EntryCall(EntryHandler& handler, ServerExchange::Pointer caller, routing::CallRequest call)
    : m_handler(handler)
    , m_caller(std::move(caller))
    , m_call(std::move(call))
    , m_ledgerTimer(handler.m_context)
{
}

void EntryCall::start()
{
    const auto now = MonotonicClock::now();
    m_decision = m_handler.m_router.begin(m_call, m_caller->arrivedAt());
    m_caller->onGone([self = shared_from_this()](AnswerEnd end) { self->onCallerGone(end); });
    m_caller->onNodeEnding([self = shared_from_this()] { self->onNodeEnding(); });
    perform(m_decision->start(now));
}

void EntryCall::perform(const routing::CallCommand& command)
{
    std::visit([this](const auto& it) {
        using Command = std::decay_t<decltype(it)>;
        if constexpr (std::is_same_v<Command, routing::SendAttempt>)
            send(it);
        else if constexpr (std::is_same_v<Command, routing::RelayAnswer>)
            relayAnswer();
        else if constexpr (std::is_same_v<Command, routing::AnswerRefusal>)
            answer(it.refusal);
        else if constexpr (std::is_same_v<Command, routing::AwaitClaimResult>)
            awaitLedger(it);
        else if constexpr (std::is_same_v<Command, routing::AwaitQuota>)
            awaitQuota(it);
    },
        command);
}

void EntryCall::send(const routing::SendAttempt& attempt)
{
    if (m_caller->endIfGone())
        return;
    m_attempt = attempt;
    m_attemptStartedAt = MonotonicClock::now();
    m_exchange = std::make_shared<UpstreamExchange>(m_handler.m_pool, m_handler.m_limits);
    // Later ones have little time left, and those that the link could save are few.
    if (attempt.trafficClass != publication::TrafficClass::Download && attempt.isFirstOfAll)
        m_handler.m_link.onShortCall(attempt.objective.value_or(attempt.deadline), m_attemptStartedAt);
    auto request = forwardedRequest(m_caller->request(), m_call, attempt, m_attemptStartedAt, m_handler.stampAt(m_attemptStartedAt));
    if (m_handler.m_bodies && request->body().size() > BodyBytes::s_smallBytes)
        m_handler.m_bodies->offer(m_call.id.value(), request->body().blocks());
    m_exchange->start(targetOf(attempt), std::move(request),
        [self = shared_from_this()](std::optional<ExchangeFailure> failure) { self->onHeader(failure); });
}

ExchangeTarget EntryCall::targetOf(const routing::SendAttempt& attempt) const
{
    ExchangeTarget target;
    target.endpoint = attempt.calls;
    target.headerDeadline = attempt.deadline;
    target.silence = attempt.inactivityTimeout;
    target.requestId = m_call.id;
    target.fresh = attempt.freshConnection;
    return target;
}

void EntryCall::onHeader(std::optional<ExchangeFailure> failure)
{
    if (m_answered)
        return;
    if (!failure && m_handler.m_hooks.onHybridTime)
        m_handler.m_hooks.onHybridTime(hybridTimeOf(m_exchange->header()));
    auto result = failure ? resultOfFailure(*failure) : resultOfHeader(*m_exchange);
    const auto now = MonotonicClock::now();
    result.latency = now - m_attemptStartedAt;
    observeAttempt(result);
    const auto command = m_decision->onAttemptFinished(result, now);
    const bool relays = std::holds_alternative<routing::RelayAnswer>(command);
    if (!failure && !relays)
        m_exchange->discard();
    perform(command);
}

void EntryCall::awaitLedger(const routing::AwaitClaimResult& await)
{
    m_ledgerTimer.expires_at(await.deadline);
    m_ledgerTimer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec)
            self->onClaimResult(routing::ClaimResult {});
    });
    m_handler.m_hooks.claimKey(await, m_call.id, [self = shared_from_this()](const routing::ClaimResult& verdict) { self->onClaimResult(verdict); });
}

void EntryCall::onClaimResult(const routing::ClaimResult& verdict)
{
    m_ledgerTimer.cancel();
    if (m_answered || std::exchange(m_ledgerAnswered, true))
        return;
    perform(m_decision->onClaimResult(verdict, MonotonicClock::now()));
}

void EntryCall::reportEnd()
{
    const auto outcome = m_decision->keyOutcome();
    if (outcome && m_handler.m_hooks.endKey)
        m_handler.m_hooks.endKey(*m_call.idempotencyKey, m_decision->route()->name, m_call.id, *outcome);
    if (m_decision->leftQuotaUnused() && m_handler.m_hooks.giveBackQuota)
        m_handler.m_hooks.giveBackQuota(m_decision->workspace()->name);
}

void EntryCall::awaitQuota(const routing::AwaitQuota& await)
{
    const auto onVerdict = [self = shared_from_this(), workspace = await.workspace](const quota::QuotaVerdict& verdict) { self->onQuotaVerdict(workspace, verdict); };
    if (m_handler.m_hooks.takeQuota)
        m_handler.m_hooks.takeQuota(await, onVerdict);
    else
        onVerdict(quota::QuotaVerdict { true, {} });
}

void EntryCall::onQuotaVerdict(const WorkspaceName& workspace, const quota::QuotaVerdict& verdict)
{
    if (!m_answered) {
        perform(m_decision->onQuotaVerdict(verdict, MonotonicClock::now()));
        return;
    }
    // The caller has left meanwhile.
    if (verdict.isAdmitted && m_handler.m_hooks.giveBackQuota)
        m_handler.m_hooks.giveBackQuota(workspace);
}

void EntryCall::answer(const routing::Refusal& refusal)
{
    if (std::exchange(m_answered, true))
        return;
    reportEnd();
    m_caller->refuse(refusal, m_call.id.value(), [self = shared_from_this(), refusal](AnswerEnd end) {
        self->observe(self->m_handler.m_dialect.refusalStatus(refusal), refusal.outcome, refusal.reason, end);
    });
}

ResponseHeader EntryCall::headerForCaller() const
{
    ResponseHeader header = m_exchange->header();
    removeHopByHopFields(header);
    header.erase(HeaderName::hybridTime);
    header.erase(HeaderName::load);
    header.erase(HeaderName::rate);
    header.erase(HeaderName::innerCallDenied);
    header.set(HeaderName::requestId, m_call.id.value());
    return header;
}

void EntryCall::relayAnswer()
{
    if (std::exchange(m_answered, true))
        return;
    reportEnd();
    m_headerAt = MonotonicClock::now();
    const unsigned status = m_exchange->header().result_int();
    const auto outcome = outcomeOf(m_exchange->header()).value_or(routing::Outcome::Unknown);
    const auto reason = reasonOf(m_exchange->header());
    m_decision->onBodyBegun(m_exchange->contentLength().value_or(0), *m_headerAt);
    const auto body = std::make_shared<ObservedBody>(answerBody(), [self = shared_from_this()](std::size_t bytes) { self->m_decision->onBodyDelivered(bytes); });
    const auto done = [self = shared_from_this(), status, outcome, reason](AnswerEnd end) {
        if (end == AnswerEnd::Whole)
            self->m_decision->onAnswerWritten(MonotonicClock::now());
        self->observe(status, outcome, reason, end);
    };
    m_caller->relay(body, headerForCaller(), done, linkUse());
}

LinkUse EntryCall::linkUse() const
{
    if (!m_caller->isRemote())
        return {};
    return m_handler.m_link.use(m_attempt->trafficClass == publication::TrafficClass::Download, m_attempt->objective);
}

std::shared_ptr<BodySource> EntryCall::answerBody()
{
    const bool wholeAsked = m_caller->request().count(http::field::range) == 0;
    const auto body = resumableBodyOf(*m_exchange);
    if (!wholeAsked || !body || m_caller->request().method() != http::verb::get)
        return m_exchange;
    return std::make_shared<ResumingBody>(m_exchange, *body,
        [self = shared_from_this()](const ResumableBody& it, std::uint64_t from, auto handOver) { self->askRest(it, from, std::move(handOver)); });
}

void EntryCall::askRest(const ResumableBody& body, std::uint64_t from, std::function<void(ResumingBody::ExchangePointer)> handOver)
{
    const auto now = MonotonicClock::now();
    const auto attempt = m_decision->resume(now);
    if (!attempt) {
        handOver(nullptr);
        return;
    }
    Request request { m_caller->request() };
    request.set(http::field::range, "bytes=" + std::to_string(from) + "-");
    request.set(http::field::if_range, body.entityTag);
    auto rest = std::make_shared<UpstreamExchange>(m_handler.m_pool, m_handler.m_limits);
    rest->start(targetOf(*attempt), forwardedRequest(request, m_call, *attempt, now, m_handler.stampAt(now)),
        [self = shared_from_this(), rest, body, from, now, handOver = std::move(handOver)](std::optional<ExchangeFailure> failure) {
            auto result = failure ? resultOfFailure(*failure) : resultOfHeader(*rest);
            const auto endedAt = MonotonicClock::now();
            result.latency = endedAt - now;
            self->m_decision->onResumed(result, endedAt);
            const bool fits = !failure && isRestOf(body, from, rest->header());
            if (!failure && !fits)
                rest->cancel();
            if (!fits && result.outcome == routing::Outcome::NotRun)
                self->askRest(body, from, handOver);
            else
                handOver(fits ? rest : nullptr);
        });
}

void EntryCall::onNodeEnding()
{
    const auto command = m_decision->onNodeEnding(MonotonicClock::now());
    if (!command)
        return;
    if (m_exchange)
        m_exchange->cancel();
    perform(*command);
}

void EntryCall::onCallerGone(AnswerEnd end)
{
    if (std::exchange(m_answered, true))
        return;
    m_decision->onCallerGone(MonotonicClock::now());
    if (m_exchange)
        m_exchange->cancel();
    reportEnd();
    observe(0, routing::Outcome::Unknown, routing::RefusalReason::Cancelled, end);
    m_caller->abandon();
}

void EntryCall::observeAttempt(const routing::AttemptResult& result)
{
    if (!m_handler.m_hooks.onAttempt)
        return;
    AttemptObservation observation;
    observation.id = m_call.id;
    observation.number = m_attempt->number;
    observation.node = m_attempt->node;
    observation.outcome = result.outcome;
    observation.reason = result.reason;
    observation.status = result.status;
    observation.latency = result.latency;
    observation.granted = m_attempt->deadline - m_attemptStartedAt;
    observation.basis = m_attempt->basis;
    observation.load = result.load;
    m_handler.m_hooks.onAttempt(observation);
}

capacity::InnerCallEnd EntryCall::innerCallEnd(std::optional<routing::RefusalReason> reason) const
{
    if (reason == routing::RefusalReason::Cancelled) {
        const auto time = m_decision->deadline() - m_caller->arrivedAt();
        const auto waited = MonotonicClock::now() - m_caller->arrivedAt();
        return waited >= time * patiencePart ? capacity::InnerCallEnd::Denied : capacity::InnerCallEnd::Other;
    }
    if (reason)
        return routing::isWantOfRoom(*reason) ? capacity::InnerCallEnd::Denied : capacity::InnerCallEnd::Failed;
    if (!m_headerAt)
        return capacity::InnerCallEnd::Answered;
    const auto& header = m_exchange->header();
    if (header.count(HeaderName::innerCallDenied) > 0)
        return capacity::InnerCallEnd::Denied;
    return header.result_int() >= firstServerError ? capacity::InnerCallEnd::Failed : capacity::InnerCallEnd::Answered;
}

void EntryCall::observe(unsigned status, routing::Outcome outcome, std::optional<routing::RefusalReason> reason, AnswerEnd end)
{
    if (!m_handler.m_hooks.onCall)
        return;
    CallObservation observation;
    observation.id = m_call.id;
    observation.service = m_attempt ? m_attempt->service : ServiceName {};
    observation.status = status;
    observation.outcome = outcome;
    observation.reason = reason;
    observation.attempts = m_attempt ? m_attempt->number : 0;
    observation.latency = MonotonicClock::now() - m_caller->arrivedAt();
    if (m_headerAt)
        observation.headerLatency = *m_headerAt - m_caller->arrivedAt();
    observation.callerTimeout = m_call.callerTimeout;
    observation.waitedBefore = m_decision->waitedBefore();
    observation.configuration = m_decision->configurationOffset();
    if (const auto* workspace = m_decision->workspace())
        observation.workspace = workspace->name;
    if (const auto* route = m_decision->route()) {
        observation.route = route->name;
        observation.objective = route->objective;
    }
    observation.answerEnd = end;
    if (m_decision->isInner())
        observation.innerCallEnd = innerCallEnd(reason);
    m_handler.m_hooks.onCall(observation);
}

}
