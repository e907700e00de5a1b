#include "carobpath/moves/MoveAssessor.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace carobpath::moves {

using publication::MoveOutcome;
using publication::MoveReason;
using publication::MoveVerdict;
using publication::ThinEvidencePolicy;

namespace {

    constexpr std::array<RegressionKind, 2> regressionKinds { RegressionKind::Failed, RegressionKind::Slow };
    constexpr std::uint64_t maxCallsNeeded = 30;
    /// Probability that a raise is delayed although the version is not worse.
    constexpr double raiseChance = 0.01;

    /// Amount of evidence that a member's policy requires.
    struct EvidenceNeed {
        /// Calls on a route that the next stage may expose without any evidence.
        double freeCalls = 0;
        /// Calls on a route that the next stage may expose for each call counted in this one.
        double exposureFactor = 0;
        /// Minimum number of calls on each route in the last stage for a move to have sufficient evidence.
        std::uint64_t minLastStageCalls = 0;
        /// Value of \c logEvidence from which a move is not completed.
        double doubtEvidence = 0;
        /// Probability of doubting a version at the end although it is not worse.
        double verdictChance = 0;
    };

    constexpr EvidenceNeed needToFinish { 3, 4, 3, 7, 0.0001 };
    constexpr EvidenceNeed needToTakeBack { 3, 3, 8, 4.5, 0.0005 };

    const EvidenceNeed& needOf(ThinEvidencePolicy policy)
    {
        return policy == ThinEvidencePolicy::Finish ? needToFinish : needToTakeBack;
    }

    constexpr double refusedExcess = 0.25;
    constexpr std::uint64_t minRefused = 5;

    double refusedFraction(const EvidenceCounts& counts)
    {
        const auto calls = counts.answered() + counts.refused;
        return calls == 0 ? 0.0 : static_cast<double>(counts.refused) / static_cast<double>(calls);
    }

    MoveReason reasonOf(RegressionKind kind)
    {
        return kind == RegressionKind::Failed ? MoveReason::ErrorRate : MoveReason::Latency;
    }

    std::string figures(const WindowCounts& counts, RegressionKind kind, std::size_t slowClass, double evidence, double threshold)
    {
        const auto from = frequencyOf(counts.from, kind, slowClass);
        const auto to = frequencyOf(counts.to, kind, slowClass);
        std::array<char, 160> buf {};
        std::snprintf(buf.data(), buf.size(), "%s: new %llu of %llu, serving %llu of %llu; evidence %.1f, bound %.1f",
            kind == RegressionKind::Failed ? "failed" : "slow",
            static_cast<unsigned long long>(to.events), static_cast<unsigned long long>(to.calls),
            static_cast<unsigned long long>(from.events), static_cast<unsigned long long>(from.calls), evidence, threshold);
        return buf.data();
    }

}

MoveAssessor::MoveAssessor(const publication::MoveEntry& entry)
    : m_entry(entry)
    , m_plan(entry.move.startAt, entry.move.deadline)
{
}

void MoveAssessor::add(const EvidenceGrowth& growth)
{
    if (growth.window >= MovePlan::s_evidenceWindows)
        return;
    if (m_routes.size() >= s_maxRoutes && !m_routes.contains(growth.route))
        return;
    const bool isNew = growth.version == m_entry.move.to;
    if (!isNew && growth.version != m_entry.from)
        return;
    auto& evidence = m_routes[growth.route];
    const auto slowClass = evidence.slowClass();
    evidence.add(growth.window, isNew, growth.counts);
    // A changed slow class affects every window.
    m_lastValidProgress = evidence.slowClass() == slowClass ? std::min(m_lastValidProgress, growth.window / 2) : 0;
}

double MoveAssessor::threshold() const
{
    const auto tests = static_cast<double>(std::max<std::size_t>(1, m_routes.size()) * regressionKinds.size());
    return std::log(tests / s_falsePositiveRate);
}

std::uint64_t MoveAssessor::callsNeeded(double callsPerWindow, std::uint32_t stage) const
{
    const auto& need = needOf(m_entry.move.onThinEvidence);
    const bool isLast = stage == m_plan.lastStage();
    const auto nextShare = m_plan.share(isLast ? stage : stage + 1);
    const auto exposed = callsPerWindow * m_plan.dwell() * nextShare;
    const auto needed = std::ceil(std::max(0.0, exposed - need.freeCalls) / need.exposureFactor);
    const auto minCalls = isLast ? need.minLastStageCalls : 0;
    return std::clamp(static_cast<std::uint64_t>(needed), minCalls, maxCallsNeeded);
}

RouteProgress MoveAssessor::routeProgressOf(const RouteEvidence& evidence, const StageProgress& progress, std::uint32_t endWindow) const
{
    const auto all = evidence.sum(0, endWindow);
    const auto calls = static_cast<double>(all.from.answered() + all.to.answered());
    RouteProgress it;
    if (calls == 0 && all.from.refused + all.to.refused == 0)
        return it;

    const auto recentFrom = endWindow > m_plan.dwell() ? endWindow - m_plan.dwell() : 0;
    const auto recent = evidence.sum(std::max(progress.entered, recentFrom), endWindow);
    it.calls = evidence.sum(progress.entered, endWindow).to.answered();
    it.callsNeeded = callsNeeded(calls / std::max(1U, endWindow), progress.stage);
    const bool isLast = progress.stage == m_plan.lastStage();
    const auto& need = needOf(m_entry.move.onThinEvidence);
    const auto chance = isLast ? need.verdictChance : raiseChance;
    for (const auto kind : regressionKinds) {
        const auto slowClass = evidence.slowClass();
        const bool isExcessive = isExcessLarge(evidence, kind, slowClass, std::max(1U, endWindow) - 1);
        if (isLast && isExcessive && logEvidence(evidence, kind, slowClass, endWindow) >= need.doubtEvidence)
            it.wait = WaitReason::Doubt;
        if (isWorse(frequencyOf(all.from, kind, slowClass), frequencyOf(recent.from, kind, slowClass), frequencyOf(recent.to, kind, slowClass), kind, chance))
            it.wait = WaitReason::Doubt;
    }
    if (it.wait == WaitReason::None && recent.to.refused >= minRefused && refusedFraction(recent.to) > refusedFraction(recent.from) + refusedExcess)
        it.wait = WaitReason::Refusals;
    if (it.wait == WaitReason::None && it.calls < it.callsNeeded)
        it.wait = WaitReason::ThinEvidence;
    return it;
}

RouteProgress MoveAssessor::leastReadyRoute(const StageProgress& progress, std::uint32_t endWindow, RouteName& route) const
{
    RouteProgress worst;
    bool hasCalls = false;
    for (const auto& [name, evidence] : m_routes) {
        const auto all = evidence.sum(0, endWindow);
        hasCalls = hasCalls || all.from.answered() + all.to.answered() > 0;
        const auto it = routeProgressOf(evidence, progress, endWindow);
        if (static_cast<int>(it.wait) > static_cast<int>(worst.wait)) {
            worst = it;
            route = name;
        }
    }
    if (!hasCalls && worst.wait == WaitReason::None)
        worst.wait = WaitReason::ThinEvidence;
    return worst;
}

MoveAssessor::StageProgress MoveAssessor::progressAt(std::uint32_t window) const
{
    for (auto w = m_lastValidProgress + 1; w <= window; ++w)
        m_progress.at(w) = nextProgress(m_progress.at(w - 1), w);
    m_lastValidProgress = std::max(m_lastValidProgress, window);
    return m_progress.at(window);
}

MoveAssessor::StageProgress MoveAssessor::nextProgress(const StageProgress& before, std::uint32_t window) const
{
    if (before.stage == m_plan.lastStage() || window < m_plan.plannedWindow(before.stage + 1) || isCautious(window - 1))
        return before;
    RouteName route;
    const auto wait = leastReadyRoute(before, window, route).wait;
    const bool isForced = m_entry.move.onThinEvidence == ThinEvidencePolicy::Finish && window >= m_plan.latestWindow(before.stage + 1);
    if (wait == WaitReason::None || (wait == WaitReason::ThinEvidence && isForced))
        return StageProgress { before.stage + 1, window };
    return before;
}

std::optional<MoveVerdict> MoveAssessor::findRegression(std::uint32_t window) const
{
    const auto limit = threshold();
    for (const auto& [name, evidence] : m_routes) {
        const auto slowClass = evidence.slowClass();
        for (const auto kind : regressionKinds) {
            const auto value = logEvidence(evidence, kind, slowClass, window + 1);
            const bool isProved = value >= limit && isExcessLarge(evidence, kind, slowClass, window);
            if (isProved || isSuspectAgain(evidence, kind, slowClass, window))
                return MoveVerdict { MoveOutcome::TakenBack, reasonOf(kind), name, figures(evidence.sum(0, window + 1), kind, slowClass, value, limit) };
        }
    }
    return std::nullopt;
}

bool MoveAssessor::isCautious(std::uint32_t window) const
{
    for (const auto& [name, evidence] : m_routes) {
        const auto slowClass = evidence.slowClass();
        for (const auto kind : regressionKinds) {
            if (isSuspect(evidence, kind, slowClass, window))
                return true;
        }
    }
    return false;
}

MoveAssessment MoveAssessor::assess(WallTime now) const
{
    MoveAssessment it;
    if (now < m_plan.startAt()) {
        it.wait = WaitReason::NotStarted;
        return it;
    }
    it.window = m_plan.windowAt(now);
    it.regression = findRegression(it.window);
    const auto progress = progressAt(it.window);
    it.stage = progress.stage;
    it.stageEnteredWindow = progress.entered;
    it.isCautious = isCautious(it.window) || (it.window > 0 && isCautious(it.window - 1));
    it.share = it.window < m_plan.warmUpWindows() ? MovePlan::s_warmUpShare : m_plan.share(it.stage);
    if (it.isCautious)
        it.share = std::min(it.share, MovePlan::s_cautiousShare);
    it.wait = it.isCautious ? WaitReason::Cautious : leastReadyRoute(progress, it.window + 1, it.waitRoute).wait;
    if (it.wait == WaitReason::None)
        it.wait = WaitReason::PlannedTime;
    it.due = it.regression ? it.regression : dueVerdict(it, now);
    if (it.due) {
        it.wait = WaitReason::AwaitingRecord;
        it.share = it.due->outcome == MoveOutcome::Done && now >= m_plan.deadline() ? 1.0 : it.share;
        if (it.due->outcome == MoveOutcome::TakenBack)
            it.share = 0;
    }
    return it;
}

std::optional<MoveVerdict> MoveAssessor::dueVerdict(const MoveAssessment& assessment, WallTime now) const
{
    if (now < m_plan.verdictDueAt())
        return std::nullopt;
    const bool isAtDeadline = now >= m_plan.deadline();
    const bool isLast = assessment.stage == m_plan.lastStage();
    const bool finishesOnThinEvidence = m_entry.move.onThinEvidence == ThinEvidencePolicy::Finish && assessment.wait == WaitReason::ThinEvidence;
    if (isLast && finishesOnThinEvidence)
        return MoveVerdict { MoveOutcome::Done, MoveReason::ThinEvidence, assessment.waitRoute, "finished with thin evidence" };
    if (isLast && assessment.wait == WaitReason::PlannedTime)
        return MoveVerdict { MoveOutcome::Done, MoveReason::None, {}, "every route compared at the last stage" };
    if (!isAtDeadline)
        return std::nullopt;
    if (assessment.wait == WaitReason::ThinEvidence || assessment.wait == WaitReason::PlannedTime) {
        if (m_entry.move.onThinEvidence == ThinEvidencePolicy::Finish)
            return MoveVerdict { MoveOutcome::Done, MoveReason::ThinEvidence, assessment.waitRoute, "finished with thin evidence" };
        return MoveVerdict { MoveOutcome::TakenBack, MoveReason::ThinEvidence, assessment.waitRoute, "too few calls to compare by the deadline" };
    }
    return MoveVerdict { MoveOutcome::TakenBack, MoveReason::ErrorRate, assessment.waitRoute, "doubt about the new version at the deadline" };
}

RouteProgress MoveAssessor::routeProgress(const RouteEvidence& evidence, const MoveAssessment& assessment) const
{
    return routeProgressOf(evidence, StageProgress { assessment.stage, assessment.stageEnteredWindow }, assessment.window + 1);
}

}
