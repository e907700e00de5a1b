#include "carobpath/moves/MoveEngine.h"

#include "MoveWriters.h"

#include <algorithm>
#include <utility>

namespace carobpath::moves {

using publication::MoveOutcome;
using publication::MoveVerdict;

namespace {

    MoveId idOf(const publication::MoveEntry& entry)
    {
        return { entry.move.name, entry.publishedAt };
    }

}

MoveEngine::ActiveMove::ActiveMove(const publication::MoveEntry& moveEntry, std::size_t rank)
    : entry(moveEntry)
    , assessor(moveEntry)
    , writer(rank)
{
}

MoveEngine::MoveEngine(NodeName self, Incarnation incarnation, std::mt19937_64 random)
    : m_self(std::move(self))
    , m_random(random)
    , m_evidence(m_self, incarnation)
{
}

void MoveEngine::onNodes(std::vector<NodeName> nodes)
{
    m_nodes = std::move(nodes);
}

void MoveEngine::onConfiguration(const publication::ConfigurationPointer& configuration, Now now)
{
    m_configuration = configuration;
    m_byService.clear();
    std::vector<MoveId> active;
    for (const auto& [name, entry] : configuration->set.moves) {
        if (entry.verdict)
            continue;
        const auto id = idOf(entry);
        active.push_back(id);
        auto& newest = m_byService.try_emplace(entry.move.service, id).first->second;
        if (newest.publishedAt < id.publishedAt)
            newest = id;
    }
    m_evidence.retain(active, configuration->stamp.offset);
    for (const auto& id : active)
        begin(id);
    for (auto& [id, move] : m_moves) {
        if (std::find(active.begin(), active.end(), id) == active.end())
            storeReport(id, move, now);
    }
    std::erase_if(m_moves, [&](const auto& it) { return std::find(active.begin(), active.end(), it.first) == active.end(); });
}

void MoveEngine::begin(const MoveId& id)
{
    if (m_moves.contains(id))
        return;
    auto& move = m_moves.try_emplace(id, m_configuration->set.moves.at(id.name), writerRank(id, m_self, m_nodes)).first->second;
    for (const auto& it : m_evidence.total(id))
        move.assessor.add(it);
}

MoveEngine::ActiveMove* MoveEngine::activeMoveOf(const ServiceName& service)
{
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? nullptr : &m_moves.at(it->second);
}

const MoveEngine::ActiveMove* MoveEngine::activeMoveOf(const ServiceName& service) const
{
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? nullptr : &m_moves.at(it->second);
}

void MoveEngine::observe(const ServiceName& service, const RouteName& route, const VersionName& version, CallResult result, std::chrono::nanoseconds latency, Now now)
{
    auto* move = activeMoveOf(service);
    if (!move || now.wall < move->assessor.plan().startAt())
        return;
    const bool isNew = version == move->entry.move.to;
    if (!isNew && version != move->entry.from)
        return;
    if (isNew && !move->firstCallAt)
        move->firstCallAt = now.monotonic;
    const auto& plan = move->assessor.plan();
    const auto planWindow = plan.windowAt(now.wall);
    const bool isWarm = planWindow >= plan.warmUpWindows() && now.monotonic - move->firstCallAt.value_or(now.monotonic) >= plan.instanceWarmUp();
    const bool isTimed = !isNew || isWarm;
    const auto window = MovePlan::evidenceWindow(planWindow, move->assessment.isCautious);
    m_evidence.observe(idOf(move->entry), route, version, window, countsOf(result, latency, isTimed), now.monotonic);
}

void MoveEngine::addGrowth(const std::vector<EvidenceGrowth>& growth)
{
    for (const auto& it : growth) {
        const auto move = m_moves.find(it.move);
        if (move == m_moves.end())
            continue;
        move->second.assessor.add(it);
        move->second.isChanged = true;
        move->second.isUrgent = move->second.isUrgent || it.counts.failed > 0;
    }
}

void MoveEngine::merge(const EvidenceUpdate& update, Now)
{
    addGrowth(m_evidence.merge(update));
}

EvidenceUpdate MoveEngine::changedSince(EvidenceCursor& cursor) const
{
    return m_evidence.changedSince(cursor);
}

std::vector<MoveCommand> MoveEngine::tick(Now now)
{
    std::vector<MoveCommand> commands;
    m_tickedAt = now.monotonic;
    addGrowth(m_evidence.publishLocal(now.monotonic));
    for (auto& [id, move] : m_moves)
        tickMove(id, move, now, commands);
    return commands;
}

void MoveEngine::tickMove(const MoveId& id, ActiveMove& move, Now now, std::vector<MoveCommand>& commands)
{
    const auto interval = move.isChanged ? s_minAssessmentInterval : s_idleAssessmentInterval;
    if (move.isUrgent || move.assessedAt == MonotonicTime::min() || now.monotonic - move.assessedAt >= interval) {
        move.assessment = move.assessor.assess(now.wall);
        move.assessedAt = now.monotonic;
        move.isChanged = false;
        move.isUrgent = false;
    }
    if (move.assessment.regression && !m_evidence.notice(id))
        takeBack(id, move, commands);
    const auto share = m_evidence.notice(id) ? 0.0 : move.assessment.share;
    if (share != move.reportedShare) {
        move.reportedShare = share;
        commands.push_back(TrafficSplitChanged { move.entry.move.service, id.name, { move.entry.from, move.entry.move.to, share, {} } });
    }
    const auto verdict = verdictOf(id, move, now);
    if (verdict && move.writer.isDue(*verdict, now.monotonic, m_random))
        commands.push_back(AppendVerdict { id.name, id.publishedAt, *verdict });
}

void MoveEngine::takeBack(const MoveId& id, ActiveMove& move, std::vector<MoveCommand>& commands)
{
    const TakeBackNotice notice { id.name, id.publishedAt, m_self, *move.assessment.regression };
    m_evidence.addNotice(notice);
    commands.push_back(BroadcastNotice { notice });
}

std::optional<MoveVerdict> MoveEngine::verdictOf(const MoveId& id, const ActiveMove& move, Now now) const
{
    if (const auto* notice = m_evidence.notice(id))
        return notice->verdict;
    if (!move.assessment.due)
        return std::nullopt;
    const bool isTakenBack = move.assessment.due->outcome == MoveOutcome::TakenBack;
    // A partitioned node has little evidence, so nodes with more evidence append first.
    if (isTakenBack && now.wall < move.assessor.plan().deadline() + s_thinEvidenceGrace)
        return std::nullopt;
    return move.assessment.due;
}

TrafficSplit MoveEngine::trafficSplit(const ServiceName& service, Now now) const
{
    TrafficSplit it;
    if (!m_configuration)
        return it;
    const auto entry = m_configuration->set.services.find(service);
    if (entry != m_configuration->set.services.end())
        it.current = entry->second.currentVersion;
    const auto* move = activeMoveOf(service);
    if (!move)
        return it;
    it.current = move->entry.from;
    it.next = move->entry.move.to;
    const bool isFresh = m_tickedAt != MonotonicTime::min() && now.monotonic - m_tickedAt <= s_maxTickGap;
    if (isFresh && now.wall >= move->assessor.plan().startAt() && !m_evidence.notice(idOf(move->entry)))
        it.nextShare = move->assessment.share;
    return it;
}

}
