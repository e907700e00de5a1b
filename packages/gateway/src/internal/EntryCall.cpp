#include "internal/EntryCall.h"

#include "internal/ForwardedHeader.h"

#include <type_traits>
#include <utility>

namespace carobpath::gateway::Detail {

namespace {

    routing::AttemptResult failedAttempt(routing::Outcome outcome, routing::RefusalReason reason)
    {
        routing::AttemptResult result;
        result.outcome = outcome;
        result.reason = reason;
        return result;
    }

}

EntryCall::EntryCall(EntryHandler& handler, ServerSession::Pointer session, routing::CallRequest call)
    : m_handler(handler)
    , m_session(std::move(session))
    , m_call(std::move(call))
    , m_ledgerTimer(handler.m_context)
{
}

void EntryCall::start()
{
    const auto now = MonotonicClock::now();
    m_decision = m_handler.m_router.begin(m_call, now);
    m_session->onGone([self = shared_from_this()] { self->onCallerGone(); });
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
        else if constexpr (std::is_same_v<Command, routing::AwaitLedger>)
            awaitLedger(it);
    },
        command);
}

void EntryCall::send(const routing::SendAttempt& attempt)
{
    m_attempt = attempt;
    m_attemptStartedAt = MonotonicClock::now();
    m_exchange = std::make_shared<UpstreamExchange>(m_handler.m_pool, m_handler.m_limits);
    ExchangeTarget target;
    target.endpoint = attempt.calls;
    target.headerDeadline = attempt.deadline;
    target.silence = m_handler.m_limits.silence;
    target.requestId = m_call.id;
    target.fresh = attempt.freshConnection;
    auto request = forwardedRequest(m_session->request(), m_call, attempt, m_attemptStartedAt, m_handler.hybridNow());
    m_exchange->start(std::move(target), std::move(request),
        [self = shared_from_this()](std::optional<ExchangeFailure> failure) { self->onHeader(failure); });
}

void EntryCall::onHeader(std::optional<ExchangeFailure> failure)
{
    if (m_answered)
        return;
    if (!failure && m_handler.m_hooks.onHybridTime)
        m_handler.m_hooks.onHybridTime(hybridTimeOf(m_exchange->header()));
    auto result = failure ? resultOfFailure(*failure) : resultOfHeader();
    const auto now = MonotonicClock::now();
    result.latency = now - m_attemptStartedAt;
    const auto command = m_decision->onAttemptFinished(result, now);
    const bool relays = std::holds_alternative<routing::RelayAnswer>(command);
    if (!failure && !relays)
        m_exchange->discard();
    perform(command);
}

routing::AttemptResult EntryCall::resultOfHeader() const
{
    const auto& header = m_exchange->header();
    routing::AttemptResult result;
    result.outcome = outcomeOf(header).value_or(routing::Outcome::Unknown);
    result.reason = reasonOf(header);
    result.status = header.result_int();
    result.retryAfter = milliseconds(header, HeaderName::retryAfterMs);
    return result;
}

routing::AttemptResult EntryCall::resultOfFailure(ExchangeFailure failure) const
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

void EntryCall::awaitLedger(const routing::AwaitLedger& await)
{
    m_ledgerTimer.expires_at(await.deadline);
    m_ledgerTimer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec)
            self->onLedger(routing::LedgerVerdict {});
    });
    m_handler.m_hooks.claimKey(await, m_call.id, [self = shared_from_this()](const routing::LedgerVerdict& verdict) { self->onLedger(verdict); });
}

void EntryCall::onLedger(const routing::LedgerVerdict& verdict)
{
    m_ledgerTimer.cancel();
    if (m_answered || std::exchange(m_ledgerAnswered, true))
        return;
    perform(m_decision->onLedger(verdict, MonotonicClock::now()));
}

void EntryCall::reportKeyOutcome()
{
    const auto outcome = m_decision->keyOutcome();
    if (outcome && m_handler.m_hooks.endKey)
        m_handler.m_hooks.endKey(*m_call.idempotencyKey, m_decision->route()->name, m_call.id, *outcome);
}

void EntryCall::answer(const routing::Refusal& refusal)
{
    if (std::exchange(m_answered, true))
        return;
    reportKeyOutcome();
    m_session->refuse(refusal, m_call.id.value(), [self = shared_from_this(), refusal](bool whole) {
        self->observe(routing::httpStatus(refusal.reason), refusal.outcome, refusal.reason, whole);
    });
}

ResponseHeader EntryCall::headerForCaller() const
{
    ResponseHeader header = m_exchange->header();
    removeHopByHopFields(header);
    header.erase(HeaderName::hybridTime);
    header.set(HeaderName::requestId, m_call.id.value());
    return header;
}

void EntryCall::relayAnswer()
{
    if (std::exchange(m_answered, true))
        return;
    reportKeyOutcome();
    const unsigned status = m_exchange->header().result_int();
    const auto outcome = outcomeOf(m_exchange->header()).value_or(routing::Outcome::Unknown);
    const auto reason = reasonOf(m_exchange->header());
    m_session->relay(m_exchange, headerForCaller(), [self = shared_from_this(), status, outcome, reason](bool whole) {
        self->observe(status, outcome, reason, whole);
    });
}

void EntryCall::onCallerGone()
{
    if (std::exchange(m_answered, true))
        return;
    m_decision->onCallerGone(MonotonicClock::now());
    if (m_exchange)
        m_exchange->cancel();
    reportKeyOutcome();
    observe(0, routing::Outcome::Unknown, routing::RefusalReason::Cancelled, false);
    m_session->abandon();
}

void EntryCall::observe(unsigned status, routing::Outcome outcome, std::optional<routing::RefusalReason> reason, bool whole)
{
    if (!m_handler.m_hooks.onCall)
        return;
    CallObservation observation;
    observation.id = m_call.id;
    observation.route = m_attempt ? m_attempt->route : RouteName {};
    observation.status = status;
    observation.outcome = outcome;
    observation.reason = reason;
    observation.attempts = m_attempt ? m_attempt->number : 0;
    observation.latency = MonotonicClock::now() - m_session->arrivedAt();
    observation.whole = whole;
    m_handler.m_hooks.onCall(observation);
}

}
