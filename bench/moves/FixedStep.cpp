#include "moves/FixedStep.h"

namespace carobpath::bench {

namespace {

    /// Part of the window that the steps fill; the rest is for the record.
    constexpr double stepsPart = 0.98;
    constexpr milliseconds appendInterval { 1000 };

}

FixedStep::FixedStep(const Scenario& scenario, std::mt19937_64&)
    : m_scenario(scenario)
{
}

double FixedStep::newShare(std::size_t, milliseconds now) const
{
    const bool isWithdrawn = m_scenario.withdrawnAt && now >= *m_scenario.withdrawnAt;
    if (now < milliseconds {} || isWithdrawn || m_outcome == publication::MoveOutcome::TakenBack)
        return 0;
    return m_outcome ? 1 : s_shares.at(m_step);
}

Pick FixedStep::pick(std::size_t node, double random, milliseconds now) const
{
    return random < newShare(node, now) ? Pick::New : Pick::Old;
}

void FixedStep::observe(std::size_t, Pick pick, std::size_t, const DrawnCall& call, milliseconds)
{
    auto& totals = pick == Pick::New ? m_new : m_old;
    ++totals.calls;
    totals.failed += call.result == moves::CallResult::Failed ? 1 : 0;
    totals.seconds += std::chrono::duration<double>(call.latency).count();
}

bool FixedStep::isBad() const
{
    if (m_new.calls < s_fewestCalls)
        return false;
    const bool isSlow = m_old.calls >= s_fewestCalls && m_new.meanSeconds() > s_latencyFactor * m_old.meanSeconds();
    return isSlow || m_new.failRate() > m_old.failRate() + s_failExcess;
}

void FixedStep::finish(publication::MoveOutcome outcome, milliseconds now, LogModel& log)
{
    m_outcome = outcome;
    if (now < m_nextAppend)
        return;
    m_nextAppend = now + appendInterval;
    log.append({ outcome, publication::MoveReason::None, {}, {} }, now);
}

void FixedStep::step(milliseconds now, LogModel& log)
{
    if (now < milliseconds {} || (m_scenario.withdrawnAt && now >= *m_scenario.withdrawnAt))
        return;
    if (m_outcome) {
        finish(*m_outcome, now, log);
        return;
    }
    const auto stepLength = m_scenario.length * stepsPart / s_shares.size();
    const bool isStepOver = now >= stepLength * (m_step + 1);
    if (isStepOver || now >= m_nextCheck) {
        m_nextCheck = now + s_checkInterval;
        if (isBad()) {
            finish(publication::MoveOutcome::TakenBack, now, log);
            return;
        }
    }
    if (!isStepOver)
        return;
    if (m_step + 1 == s_shares.size()) {
        finish(publication::MoveOutcome::Done, now, log);
        return;
    }
    ++m_step;
    m_old = {};
    m_new = {};
}

bool FixedStep::isSettled(milliseconds now) const
{
    return m_outcome.has_value() || (m_scenario.withdrawnAt && now >= *m_scenario.withdrawnAt);
}

}
