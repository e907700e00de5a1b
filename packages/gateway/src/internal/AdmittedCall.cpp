#include "internal/AdmittedCall.h"

#include "internal/ForwardedHeader.h"

#include <utility>

namespace carobpath::gateway::Detail {

namespace {

    constexpr unsigned firstServerError = 500;

    routing::BackendResult resultOf(ExchangeFailure failure)
    {
        switch (failure) {
        case ExchangeFailure::ConnectFailed:
            return routing::BackendResult::ConnectFailed;
        case ExchangeFailure::TimedOut:
        case ExchangeFailure::Silent:
            return routing::BackendResult::TimedOut;
        case ExchangeFailure::Cancelled:
            return routing::BackendResult::Cancelled;
        case ExchangeFailure::ConnectionLost:
        case ExchangeFailure::Mismatched:
            return routing::BackendResult::ConnectionLost;
        }
        return routing::BackendResult::ConnectionLost;
    }

    routing::Refusal refusalOf(ExchangeFailure failure)
    {
        using routing::Outcome;
        using routing::RefusalReason;
        if (failure == ExchangeFailure::ConnectFailed)
            return routing::Refusal { Outcome::NotRun, RefusalReason::UpstreamUnreachable, std::nullopt };
        if (failure == ExchangeFailure::TimedOut)
            return routing::Refusal { Outcome::Unknown, RefusalReason::UpstreamTimeout, std::nullopt };
        return routing::Refusal { Outcome::Unknown, RefusalReason::UpstreamConnectionLost, std::nullopt };
    }

    /// Another server has the address by now, and has not run the request (RFC 9110, section 15.5.20).
    bool isMisdirected(const ResponseHeader& header)
    {
        return header.result() == http::status::misdirected_request;
    }

    bool isTypedRefusal(const ResponseHeader& header, const Dialect& dialect)
    {
        if (isMisdirected(header) || (!dialect.notExecuted.empty() && header.count(dialect.notExecuted) > 0))
            return true;
        return header.result() == http::status::service_unavailable && outcomeOf(header) == routing::Outcome::NotRun;
    }

    routing::Refusal refusalOfBackend(const ResponseHeader& header)
    {
        routing::Refusal refusal;
        refusal.outcome = routing::Outcome::NotRun;
        refusal.reason = routing::RefusalReason::UpstreamRefused;
        if (isMisdirected(header))
            refusal.reason = routing::RefusalReason::NoUpstream;
        else if (reasonOf(header) == routing::RefusalReason::Draining)
            refusal.reason = routing::RefusalReason::Draining;
        refusal.retryAfter = retryAfterOf(header);
        return refusal;
    }

}

AdmittedCall::AdmittedCall(AdmissionHandler& handler, ServerExchange::Pointer caller, routing::AdmissionRequest request)
    : m_handler(handler)
    , m_caller(std::move(caller))
    , m_request(std::move(request))
{
}

void AdmittedCall::wait()
{
    m_caller->onGone([self = shared_from_this()](AnswerEnd) { self->onCallerGone(); });
    m_caller->onNodeEnding([self = shared_from_this()] { self->onNodeEnding(); });
    m_caller->sendInterimAnswers();
}

void AdmittedCall::dispatch(const std::optional<Backend>& backend)
{
    m_dispatched = true;
    m_dispatchedAt = MonotonicClock::now();
    if (m_caller->endIfGone()) {
        finish(routing::BackendResult::Cancelled);
        return;
    }
    if (!backend) {
        onFailure(ExchangeFailure::ConnectFailed);
        return;
    }
    m_run = backend->run;
    m_exchange = std::make_shared<UpstreamExchange>(m_handler.m_pool, m_handler.m_limits);
    ExchangeTarget target;
    target.endpoint = backend->endpoint;
    target.headerDeadline = m_request.deadline;
    target.requestId = m_request.id;
    target.requestIdField = m_handler.m_dialect.backendRequestId;
    m_exchange->start(std::move(target), backendRequest(m_caller->request(), m_request, m_handler.m_dialect, backend->run.instance, m_dispatchedAt),
        [self = shared_from_this()](std::optional<ExchangeFailure> failure) { self->onHeader(failure); });
}

void AdmittedCall::reject(const routing::Refusal& refusal)
{
    m_finished = true;
    m_caller->refuse(refusal, m_request.id.value());
}

void AdmittedCall::onHeader(std::optional<ExchangeFailure> failure)
{
    if (m_finished)
        return;
    m_latency = MonotonicClock::now() - m_dispatchedAt;
    if (!failure)
        reportBackend();
    if (failure)
        onFailure(*failure);
    else if (isTypedRefusal(m_exchange->header(), m_handler.m_dialect))
        refuseForBackend();
    else
        relay();
}

void AdmittedCall::reportBackend()
{
    const auto& header = m_exchange->header();
    // Another server has the address by now.
    if (isMisdirected(header))
        return;
    const auto source = isTypedRefusal(header, m_handler.m_dialect) ? routing::ReportSource::Refusal : routing::ReportSource::Run;
    m_handler.onReport(m_request.id, m_run, backendReportOf(header, m_handler.m_dialect), source, m_dispatchedAt);
}

void AdmittedCall::onFailure(ExchangeFailure failure)
{
    if (failure == ExchangeFailure::Cancelled)
        m_caller->abandon();
    else if (failure == ExchangeFailure::ConnectionLost)
        m_handler.probeBackend([self = shared_from_this(), failure] { self->m_caller->refuse(refusalOf(failure), self->m_request.id.value()); });
    else
        m_caller->refuse(refusalOf(failure), m_request.id.value());
    finish(resultOf(failure));
}

void AdmittedCall::refuseForBackend()
{
    const auto refusal = refusalOfBackend(m_exchange->header());
    m_exchange->discard();
    m_caller->refuse(refusal, m_request.id.value());
    finish(routing::BackendResult::Refused);
}

void AdmittedCall::relay()
{
    ResponseHeader header = m_exchange->header();
    removeHopByHopFields(header);
    header.set(HeaderName::requestId, m_request.id.value());
    header.set(HeaderName::outcome, routing::toString(routing::Outcome::Ran));
    setLoad(header, m_handler.m_controller.load(MonotonicClock::now()));
    if (m_handler.m_hooks.hybridNow)
        header.set(HeaderName::hybridTime, m_handler.m_hooks.hybridNow());
    const bool serverError = header.result_int() >= firstServerError;
    if (serverError && m_handler.m_controller.hasDeniedInnerCallSince(m_dispatchedAt))
        header.set(HeaderName::innerCallDenied, "1");
    const auto done = [self = shared_from_this(), serverError](AnswerEnd end) {
        if (end != AnswerEnd::Whole)
            self->finish(self->m_exchange->failed() ? routing::BackendResult::ConnectionLost : routing::BackendResult::Cancelled);
        else
            self->finish(serverError ? routing::BackendResult::ServerError : routing::BackendResult::Answered);
    };
    m_caller->relay(m_exchange, std::move(header), done, linkUse());
}

LinkUse AdmittedCall::linkUse() const
{
    if (!m_caller->isRemote())
        return {};
    return m_handler.m_link.use(m_request.trafficClass == publication::TrafficClass::Download, m_request.objective);
}

void AdmittedCall::onCallerGone()
{
    if (m_finished)
        return;
    if (m_dispatched) {
        if (m_exchange)
            m_exchange->cancel();
        return;
    }
    m_finished = true;
    m_caller->abandon();
    m_handler.m_calls.erase(m_request.id);
    m_handler.perform(m_handler.m_controller.onCancelled(m_request.id, MonotonicClock::now()));
}

void AdmittedCall::onNodeEnding()
{
    // One that waits is refused by the admission itself.
    if (m_finished || !m_exchange)
        return;
    m_caller->refuse(refusalOf(ExchangeFailure::TimedOut), m_request.id.value());
    m_exchange->cancel();
    finish(routing::BackendResult::Cancelled);
}

void AdmittedCall::finish(routing::BackendResult result)
{
    if (std::exchange(m_finished, true))
        return;
    const auto now = MonotonicClock::now();
    if (m_handler.m_hooks.onBackend) {
        const BackendObservation observation { m_request.id, m_request.route, m_request.version, m_request.fingerprint, result, m_latency };
        m_handler.m_hooks.onBackend(observation);
    }
    const auto bodyBytes = m_exchange ? m_exchange->bodyBytes() : 0;
    m_handler.finish(routing::AdmissionResult { m_request.id, result, now - m_dispatchedAt, bodyBytes, now - m_dispatchedAt - m_latency });
}

}
