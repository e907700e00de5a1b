#include "carobpath/moves/MoveEngine.h"

#include <algorithm>

/// The part of the engine that reports on moves to operators.
namespace carobpath::moves {

using publication::MoveOutcome;

void MoveEngine::storeReport(const MoveId& id, const ActiveMove& move, Now now)
{
    if (m_reports.size() >= s_maxReports) {
        const auto oldest = std::min_element(m_reports.begin(), m_reports.end(), [](const auto& a, const auto& b) {
            return a.first.publishedAt < b.first.publishedAt;
        });
        m_reports.erase(oldest);
    }
    m_reports.insert_or_assign(id, reportOf(id, move, now));
}

std::optional<MoveReport> MoveEngine::report(const MoveName& name, Now now) const
{
    if (!m_configuration)
        return std::nullopt;
    const auto entry = m_configuration->set.moves.find(name);
    if (entry == m_configuration->set.moves.end())
        return std::nullopt;
    const auto id = MoveId { entry->second.move.name, entry->second.publishedAt };
    if (const auto active = m_moves.find(id); active != m_moves.end())
        return reportOf(id, active->second, now);

    const auto kept = m_reports.find(id);
    auto it = kept == m_reports.end() ? reportOf(id, ActiveMove(entry->second, 0), now) : kept->second;
    it.isRecorded = true;
    it.verdict = entry->second.verdict;
    it.wait = WaitReason::None;
    it.waitRoute = {};
    it.nextStep = NextStep::None;
    it.nextStepAt.reset();
    switch (entry->second.verdict->outcome) {
    case MoveOutcome::Done:
        it.state = MoveState::Done;
        it.share = 1;
        break;
    case MoveOutcome::TakenBack:
        it.state = MoveState::TakenBack;
        it.share = 0;
        break;
    case MoveOutcome::Withdrawn:
        it.state = MoveState::Withdrawn;
        it.share = 0;
        break;
    }
    return it;
}

MoveReport MoveEngine::reportOf(const MoveId& id, const ActiveMove& move, Now now) const
{
    const auto& plan = move.assessor.plan();
    const auto& assessment = move.assessment;
    MoveReport it;
    it.id = id;
    it.service = move.entry.move.service;
    it.from = move.entry.from;
    it.to = move.entry.move.to;
    it.startAt = plan.startAt();
    it.deadline = plan.deadline();
    const auto newest = m_byService.find(it.service);
    it.share = newest != m_byService.end() && newest->second == id ? trafficSplit(it.service, now).nextShare : 0;
    it.stage = assessment.stage;
    it.stages = plan.stages();
    it.wait = assessment.wait;
    it.waitRoute = assessment.waitRoute;
    it.verdict = verdictOf(id, move, now);
    it.bound = move.assessor.threshold();
    if (it.verdict && it.verdict->outcome == MoveOutcome::TakenBack)
        it.state = MoveState::TakenBack;
    if (it.verdict)
        it.wait = WaitReason::AwaitingRecord;
    if (now.wall < plan.startAt()) {
        it.nextStep = NextStep::Start;
        it.nextStepAt = plan.startAt();
    } else if (!it.verdict) {
        const bool isLast = assessment.stage == plan.lastStage();
        it.nextStep = isLast ? NextStep::Verdict : NextStep::Raise;
        it.nextStepAt = isLast ? plan.verdictDueAt() : plan.windowStart(std::max(plan.plannedWindow(assessment.stage + 1), assessment.window + 1));
    }
    for (const auto& [name, evidence] : move.assessor.routes()) {
        const auto counts = evidence.sum(0, MovePlan::s_windows);
        const auto slowClass = evidence.slowClass();
        it.routes.push_back({ name, figuresOf(counts.from), figuresOf(counts.to), move.assessor.routeProgress(evidence, assessment),
            logEvidence(evidence, RegressionKind::Failed, slowClass, MovePlan::s_windows), logEvidence(evidence, RegressionKind::Slow, slowClass, MovePlan::s_windows) });
    }
    return it;
}

}
