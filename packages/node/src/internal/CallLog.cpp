#include "internal/CallLog.h"

namespace carobpath::node::Detail {

namespace {

    void addReason(Event& event, const std::optional<routing::RefusalReason>& reason)
    {
        if (reason)
            event.with("reason", routing::toString(*reason));
    }

    void addLoad(Event& event, const routing::UpstreamLoad& load)
    {
        event.with("calls", load.calls).with("limit", load.limit).with("serviceMs", load.serviceTime);
        if (load.rate)
            event.with("callsPerSecond", load.rate->callsPerSecond).with("rateWaitMs", load.rate->wait);
    }

    /// \returns whether the configuration in force does not know what the caller named.
    bool isUnknownHere(const gateway::CallObservation& call)
    {
        using routing::RefusalReason;
        return call.reason == RefusalReason::UnknownRoute || call.reason == RefusalReason::UnknownHost || call.reason == RefusalReason::UnknownKey;
    }

}

void CallLog::onCall(const gateway::CallObservation& call)
{
    Event it(event::callEnded);
    it.with("request", call.id).with("route", call.route).with("service", call.service).with("status", call.status);
    it.with("outcome", routing::toString(call.outcome));
    if (!call.workspace.empty())
        it.with("workspace", call.workspace);
    addReason(it, call.reason);
    it.with("attempts", call.attempts).with("tookMs", call.latency);
    if (call.headerLatency)
        it.with("headerMs", *call.headerLatency);
    if (call.objective.count() > 0)
        it.with("objectiveMs", call.objective);
    if (call.callerTimeout)
        it.with("callerTimeoutMs", *call.callerTimeout);
    if (call.waitedBefore.count() > 0)
        it.with("waitedBeforeMs", call.waitedBefore);
    if (call.configuration)
        it.with("configuration", *call.configuration);
    if (isUnknownHere(call) && m_configurationAge) {
        if (const auto age = m_configurationAge())
            it.with("configurationAgeMs", *age);
    }
    if (call.answerEnd != gateway::AnswerEnd::Whole)
        it.with("answer", gateway::toString(call.answerEnd));
    m_events.record(it);
}

void CallLog::onAttempt(const gateway::AttemptObservation& attempt)
{
    Event it(event::attemptEnded);
    it.with("request", attempt.id).with("attempt", attempt.number).with("node", attempt.node).with("status", attempt.status);
    it.with("outcome", routing::toString(attempt.outcome));
    addReason(it, attempt.reason);
    it.with("tookMs", attempt.latency).with("grantedMs", attempt.granted);
    it.with("candidates", attempt.basis.candidates).with("viewAgeMs", attempt.basis.viewAge);
    if (attempt.load)
        addLoad(it, *attempt.load);
    m_events.record(it);
}

void CallLog::onAdmissionRefused(const gateway::AdmissionRefusal& refusal)
{
    Event it(event::admissionRefused);
    it.with("request", refusal.id).with("route", refusal.route);
    it.with("outcome", routing::toString(refusal.refusal.outcome)).with("reason", routing::toString(refusal.refusal.reason));
    if (refusal.refusal.retryAfter)
        it.with("retryAfterMs", *refusal.refusal.retryAfter);
    it.with("deadlineLeftMs", refusal.deadlineLeft);
    if (refusal.objectiveLeft)
        it.with("objectiveLeftMs", *refusal.objectiveLeft);
    addLoad(it, refusal.load);
    if (refusal.innerCallLimit)
        it.with("innerCallLimit", *refusal.innerCallLimit);
    m_events.record(it);
}

void CallLog::onBackendReport(const gateway::BackendReportObservation& observation)
{
    Event it(event::backendReported);
    it.with("request", observation.id).with("instance", observation.instance);
    if (observation.callsPerSecond)
        it.with("callsPerSecond", *observation.callsPerSecond);
    it.with("leaving", observation.report.isLeaving);
    if (observation.report.isLimitUnreadable)
        it.with("unreadable", true);
    m_events.record(it);
}

void CallLog::onBackend(const gateway::BackendObservation& observation)
{
    Event it(event::backendEnded);
    it.with("request", observation.id).with("route", observation.route).with("version", observation.version);
    it.with("result", routing::toString(observation.result)).with("tookMs", observation.latency);
    m_events.record(it);
}

}
