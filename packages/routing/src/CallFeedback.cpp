// What the attempts of calls tell the throttle of their service and the balance between failure domains.
#include "AttemptClassification.h"
#include "EntryState.h"
#include "carobpath/routing/CallDecision.h"

namespace carobpath::routing {

OfferClass CallDecision::offerClass(MonotonicTime now) const
{
    const bool hasObjective = m_route->objective.count() > 0;
    return { m_rank, hasObjective && now >= m_arrivedAt + m_route->objective - m_waitedBefore };
}

bool CallDecision::isThrottled(MonotonicTime now)
{
    // The backend server has begun on the parent of an inner call.
    if (m_isInner || !m_state->policy.throttlesCalls)
        return false;
    m_offerClass = offerClass(now);
    return !m_state->throttleOf(m_service).mayOffer(m_offerClass, m_state->picker.drawUnit(), now);
}

void CallDecision::reportToThrottle(const AttemptResult& result, MonotonicTime now)
{
    const bool isTaken = result.outcome == Outcome::Ran;
    const bool tellsOfRoom = isTaken || wasRefusedForLoad(result);
    if (!tellsOfRoom || m_isInner || !m_state->policy.throttlesCalls)
        return;
    auto& throttle = m_state->throttleOf(m_service);
    if (isTaken)
        throttle.onTaken(m_offerClass, now);
    else
        throttle.onRefused(m_offerClass, result.latency, result.retryAfter, now);
}

void CallDecision::reportToBalance(const AttemptResult& result, MonotonicTime now)
{
    if (!m_attempt->isLocal)
        return;
    auto& balance = m_state->balances[m_service];
    if (result.outcome == Outcome::Ran)
        balance.onLocalCall(result.latency, now);
    const bool couldHaveWaited = m_sent.objective && *m_sent.objective > m_attempt->sentAt;
    if (wasRefusedForLoad(result) && couldHaveWaited)
        balance.onLocalCall(DomainBalance::s_refusalFactor * (*m_sent.objective - m_attempt->sentAt), now);
}

}
