#include "carobpath/moves/OrderedMoves.h"

#include "MoveWriters.h"
#include "carobpath/foundation/RendezvousHash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace carobpath::moves {

namespace {

    using std::chrono::milliseconds;

    /// Minimum number of canary calls to complete a move.
    constexpr std::uint64_t minCalls = 5;
    /// Minimum fraction of the planned load-test calls that must have been answered for the version to count as tested
    /// under load.
    constexpr double minLoadTestFraction = 1.0 / 3;

    enum class Stage {
        None,
        Part,
        All,
    };

    Stage stageOf(double share)
    {
        if (share <= 0)
            return Stage::None;
        return share < 1 ? Stage::Part : Stage::All;
    }

}

OrderedMoves::OrderedMoves(NodeName self, Incarnation incarnation, const ExposureBound& bound)
    : m_self(std::move(self))
    , m_bound(bound)
    , m_evidence(m_self, incarnation)
{
}

MoveId OrderedMoves::idOf(const MoveOrder& order)
{
    return { MoveName { order.service.value() }, order.offset };
}

void OrderedMoves::onNodes(std::vector<NodeName> nodes) { m_nodes = std::move(nodes); }

void OrderedMoves::onUpstreams(std::vector<ServingUpstream> upstreams) { m_upstreams = std::move(upstreams); }

void OrderedMoves::addPendingOrder(const MoveOrder& order)
{
    const auto known = m_moves.find(order.service);
    const bool isNew = known == m_moves.end() || (known->second.order.offset < order.offset && !isSameOrder(known->second.order, order) && !isReplaced(known->second, order));
    if (isNew)
        m_pendingOrders.insert_or_assign(order.service, order);
}

void OrderedMoves::onOrder(const MoveOrder& order, milliseconds age, MonotonicTime now)
{
    m_pendingOrders.erase(order.service);
    const auto known = m_moves.find(order.service);
    if (known != m_moves.end()) {
        const bool isKnown = known->second.order.offset >= order.offset || isReplaced(known->second, order);
        if (isKnown)
            return;
        if (isSameOrder(known->second.order, order))
            return rebind(known->second, order, now);
    }
    Move move { order, OrderedMovePlan { order.duration, m_bound }, now - age, {}, {}, {}, std::nullopt, 0, std::nullopt, now, false, {}, {}, {}, 0 };
    setVersions(move, known == m_moves.end() ? nullptr : &known->second, now);
    if (known != m_moves.end()) {
        move.replaced = std::move(known->second.replaced);
        move.replaced.push_back(known->second.order);
        if (move.replaced.size() > s_maxReplaced)
            move.replaced.erase(move.replaced.begin());
    }
    const auto status = m_statuses.find(order.service);
    if (status != m_statuses.end() && isStatusOf(status->second, order)) {
        move.recorded = status->second.state;
        move.isRecordSuspect = status->second.order != order.offset || m_outdatedInStore.contains(order.service);
    }
    m_moves.insert_or_assign(order.service, std::move(move));
    retain();
    for (const auto& growth : m_evidence.total(idOf(order)))
        add({ growth });
}

bool OrderedMoves::isReplaced(const Move& known, const MoveOrder& order)
{
    // Once the known order was read in the later era, whatever follows it there is new.
    if (publication::eraOfPacked(known.order.offset) == publication::eraOfPacked(order.offset))
        return false;
    return !isSameOrder(known.order, order) && std::any_of(known.replaced.begin(), known.replaced.end(), [&](const MoveOrder& it) { return isSameOrder(it, order); });
}

void OrderedMoves::rebind(Move& move, const MoveOrder& order, MonotonicTime now)
{
    const auto* notice = m_evidence.notice(idOf(move.order));
    const auto taken = notice ? std::optional { *notice } : std::nullopt;
    move.order = order;
    move.isRecordSuspect = move.recorded.has_value();
    move.wantedState.reset();
    move.writeAt = now;
    retain();
    if (taken)
        m_evidence.addNotice({ taken->move, idOf(order).publishedAt, taken->observer, taken->verdict });
    // Calls from now on are counted under the order's new number; those before are in the comparisons already.
    add(m_evidence.total(idOf(order)));
    const auto status = m_statuses.find(order.service);
    if (status != m_statuses.end())
        onStatus(MoveStatus { status->second });
}

void OrderedMoves::retain()
{
    std::vector<MoveId> active;
    publication::Offset newest = 0;
    for (const auto& [service, move] : m_moves) {
        active.push_back(idOf(move.order));
        newest = std::max(newest, move.order.offset);
    }
    m_evidence.retain(active, newest);
}

void OrderedMoves::observe(const ServiceName& service, const RouteName& route, const VersionName& version, CallResult result, std::optional<std::chrono::nanoseconds> latency, MonotonicTime now)
{
    const auto it = m_moves.find(service);
    if (it == m_moves.end() || hasEnded(it->second))
        return;
    const auto& move = it->second;
    m_evidence.observe(idOf(move.order), route, version, windowOf(move, now), countsOf(result, latency.value_or(std::chrono::nanoseconds {}), latency.has_value()), now);
}

void OrderedMoves::add(const std::vector<EvidenceGrowth>& growth)
{
    for (const auto& it : growth) {
        const auto found = m_moves.find(ServiceName { it.move.name.value() });
        if (found == m_moves.end() || idOf(found->second.order) != it.move)
            continue;
        auto& move = found->second;
        if (move.versions.isRejected(it.version))
            continue;
        if (it.version != move.order.to) {
            move.canary.addOld(it);
            move.full.addOld(it);
            move.loadTest.addOld(it);
        } else if (it.window == s_fullWindow) {
            move.full.addNew(it);
        } else if (it.window == s_loadTestWindow) {
            move.loadTest.addNew(it);
        } else {
            move.canary.addNew(it);
        }
    }
}

void OrderedMoves::merge(const EvidenceUpdate& update) { add(m_evidence.merge(update)); }

EvidenceUpdate OrderedMoves::changedSince(EvidenceCursor& cursor) const { return m_evidence.changedSince(cursor); }

milliseconds OrderedMoves::elapsed(const Move& move, MonotonicTime now) const
{
    return std::chrono::duration_cast<milliseconds>(now - move.startedAt);
}

bool OrderedMoves::hasEnded(const Move& move)
{
    return move.recorded && *move.recorded != OrderedMoveState::Running;
}

bool OrderedMoves::isTakenBack(const Move& move) const
{
    return move.recorded == OrderedMoveState::TakenBack || m_evidence.notice(idOf(move.order)) != nullptr;
}

bool OrderedMoves::takesAllCalls(const Move& move, MonotonicTime now) const
{
    if (isAlreadyServing(move))
        return true;
    const bool isDue = elapsed(move, now) >= move.plan.fullAt() && isEvidenceCurrent(now);
    return isDue && hasEnoughEvidence(move, now) && !isTakenBack(move);
}

bool OrderedMoves::isEvidenceCurrent(MonotonicTime now) const
{
    return m_resumedAt && now - *m_resumedAt >= s_evidenceLag;
}

bool OrderedMoves::hasEnoughEvidence(const Move& move, MonotonicTime now) const
{
    const auto basis = basisOf(move, now);
    return basis.canaryCalls >= minCalls && basis.loadTestCalls >= basis.loadTestCallsNeeded && !basis.isMasked;
}

StatusBasis OrderedMoves::basisOf(const Move& move, MonotonicTime now) const
{
    StatusBasis it;
    it.elapsed = elapsed(move, now);
    it.tickGap = m_tickGap;
    it.canaryCalls = move.canary.newCalls();
    it.loadTestCalls = move.loadTest.newCalls();
    it.loadTestCallsNeeded = static_cast<std::uint64_t>(std::ceil(minLoadTestFraction * move.plan.loadTestCalls(rateOf(move, now))));
    it.isMasked = move.canary.isMasked() || move.loadTest.isMasked() || move.full.isMasked();
    return it;
}

bool OrderedMoves::isInLoadTest(const Move& move, MonotonicTime now) const
{
    const auto time = elapsed(move, now);
    return !isTakenBack(move) && time >= move.plan.loadTestStart() && time < move.plan.loadTestEnd();
}

std::uint32_t OrderedMoves::windowOf(const Move& move, MonotonicTime now) const
{
    if (takesAllCalls(move, now))
        return s_fullWindow;
    return isInLoadTest(move, now) ? s_loadTestWindow : s_canaryWindow;
}

NodeName OrderedMoves::loadTestNodeOf(const Move& move) const
{
    const auto key = rankKey(idOf(move.order));
    const ServingUpstream* best = nullptr;
    for (const auto& it : m_upstreams) {
        if (it.service != move.order.service || it.version != move.order.to)
            continue;
        if (!best || rendezvousScore(key, it.node.value()) > rendezvousScore(key, best->node.value()))
            best = &it;
    }
    return best ? best->node : NodeName {};
}

double OrderedMoves::rateOf(const Move& move, MonotonicTime now) const
{
    const auto observed = std::max(elapsed(move, now) - s_evidenceLag, milliseconds { 0 });
    const auto calls = static_cast<double>(move.canary.oldCalls() + move.canary.newCalls());
    return observed > s_evidenceLag ? calls / std::chrono::duration<double>(observed).count() : 0;
}

double OrderedMoves::shareOf(const Move& move, MonotonicTime now) const
{
    if (isTakenBack(move))
        return 0;
    if (takesAllCalls(move, now))
        return 1;
    const auto rate = rateOf(move, now);
    return isInLoadTest(move, now) ? move.plan.loadTestShare(rate) : move.plan.canaryShare(rate);
}

TrafficSplit OrderedMoves::trafficSplit(const ServiceName& service, MonotonicTime now) const
{
    TrafficSplit it;
    if (const auto pending = m_pendingOrders.find(service); pending != m_pendingOrders.end()) {
        it.next = pending->second.to;
        return it;
    }
    const auto found = m_moves.find(service);
    if (found == m_moves.end())
        return it;
    const auto& move = found->second;
    it.rejected = move.versions.rejected;
    if (move.recorded == OrderedMoveState::Done || isAlreadyServing(move)) {
        it.current = move.order.to;
        return it;
    }
    it.next = move.order.to;
    const bool isFresh = m_tickedAt != MonotonicTime::min() && now - m_tickedAt <= s_maxTickGap;
    it.nextShare = isFresh ? shareOf(move, now) : 0;
    if (isInLoadTest(move, now))
        it.loadTestNode = loadTestNodeOf(move);
    return it;
}

bool OrderedMoves::hasUnfinishedMove() const
{
    return std::any_of(m_moves.begin(), m_moves.end(), [](const auto& it) { return !hasEnded(it.second); });
}

std::vector<OrderedMoveCommand> OrderedMoves::tick(MonotonicTime now)
{
    std::vector<OrderedMoveCommand> commands;
    if (m_resumedAt)
        m_tickGap = std::chrono::duration_cast<milliseconds>(now - m_tickedAt);
    if (!m_resumedAt || m_tickGap > s_maxTickGap)
        m_resumedAt = now;
    m_tickedAt = now;
    for (auto& [service, move] : m_moves)
        repeatLoadTest(move, now);
    add(m_evidence.publishLocal(now));
    for (auto& [service, move] : m_moves) {
        findRegression(move, commands);
        const auto share = shareOf(move, now);
        if (stageOf(share) != stageOf(move.reportedShare)) {
            move.reportedShare = share;
            commands.emplace_back(TrafficSplitChanged { service, idOf(move.order).name, { VersionName {}, move.order.to, share, {} } });
        }
        requestWrite(move, now, commands);
    }
    return commands;
}

void OrderedMoves::repeatLoadTest(Move& move, MonotonicTime now)
{
    const auto time = elapsed(move, now);
    const bool isDue = time >= move.plan.loadTestEnd() && time < move.plan.fullAt() && now - move.repeatedAt >= s_repeatInterval;
    if (!isDue || hasEnded(move))
        return;
    move.repeatedAt = now;
    m_evidence.repeat(idOf(move.order), move.order.to, s_loadTestWindow);
}

void OrderedMoves::findRegression(Move& move, std::vector<OrderedMoveCommand>& commands)
{
    const auto id = idOf(move.order);
    if (hasEnded(move) || isAlreadyServing(move) || m_evidence.notice(id))
        return;
    auto finding = move.canary.finding();
    if (!finding)
        finding = move.loadTest.finding();
    if (!finding)
        finding = move.full.finding();
    if (!finding)
        return;
    const publication::MoveVerdict verdict { publication::MoveOutcome::TakenBack, finding->reason, finding->route, finding->evidence };
    const TakeBackNotice notice { id.name, id.publishedAt, m_self, verdict };
    if (m_evidence.addNotice(notice))
        commands.emplace_back(BroadcastNotice { notice });
}

}
