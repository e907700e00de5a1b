#include "carobpath/moves/OrderedMoves.h"

#include "MoveWriters.h"
#include "carobpath/foundation/RendezvousHash.h"

#include <algorithm>
#include <utility>

namespace carobpath::moves {

namespace {

    using std::chrono::milliseconds;

    /// Calls that a move is completed on at least.
    constexpr std::uint64_t fewestCalls = 5;
    /// Part of the calls meant for the one loaded instance that must have been answered, for the version to count as seen
    /// under load.
    constexpr double loadShownPart = 1.0 / 3;
    /// Evidence of other nodes is late by about this time.
    constexpr milliseconds evidenceLag { 1'500 };

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
    , m_book(m_self, incarnation)
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
    if (known == m_moves.end() || known->second.order.offset < order.offset)
        m_held.insert_or_assign(order.service, order);
}

void OrderedMoves::onOrder(const MoveOrder& order, milliseconds age, MonotonicTime now)
{
    m_held.erase(order.service);
    const auto held = m_moves.find(order.service);
    if (held != m_moves.end() && held->second.order.offset >= order.offset)
        return;
    Move move { order, OrderedMovePlan { order.duration, m_bound }, now - age, {}, {}, {}, std::nullopt, 0, std::nullopt, now };
    const auto status = m_statuses.find(order.service);
    if (status != m_statuses.end() && status->second.order == order.offset)
        move.recorded = status->second.state;
    m_moves.insert_or_assign(order.service, std::move(move));
    retain();
    for (const auto& growth : m_book.total(idOf(order)))
        add({ growth });
}

void OrderedMoves::retain()
{
    std::vector<MoveId> active;
    publication::Offset newest = 0;
    for (const auto& [service, move] : m_moves) {
        active.push_back(idOf(move.order));
        newest = std::max(newest, move.order.offset);
    }
    m_book.retain(active, newest);
}

void OrderedMoves::onStatus(const MoveStatus& status)
{
    m_statuses.insert_or_assign(status.service, status);
    const auto it = m_moves.find(status.service);
    if (it == m_moves.end() || it->second.order.offset != status.order)
        return;
    auto& recorded = it->second.recorded;
    // The first end that was recorded stands.
    if (!recorded || *recorded == OrderedMoveState::Running)
        recorded = status.state;
}

void OrderedMoves::observe(const ServiceName& service, const RouteName& route, const VersionName& version, CallResult result, std::optional<std::chrono::nanoseconds> latency, MonotonicTime now)
{
    const auto it = m_moves.find(service);
    if (it == m_moves.end() || hasEnded(it->second))
        return;
    const auto& move = it->second;
    m_book.observe(idOf(move.order), route, version, windowOf(move, now), countsOf(result, latency.value_or(std::chrono::nanoseconds {}), latency.has_value()), now);
}

void OrderedMoves::add(const std::vector<EvidenceGrowth>& growth)
{
    for (const auto& it : growth) {
        const auto found = m_moves.find(ServiceName { it.move.name.value() });
        if (found == m_moves.end() || idOf(found->second.order) != it.move)
            continue;
        auto& move = found->second;
        if (it.version != move.order.to) {
            move.canary.addOld(it);
            move.full.addOld(it);
            move.focus.addOld(it);
        } else if (it.window == s_fullWindow) {
            move.full.addNew(it);
        } else if (it.window == s_focusWindow) {
            move.focus.addNew(it);
        } else {
            move.canary.addNew(it);
        }
    }
}

void OrderedMoves::merge(const EvidenceUpdate& update) { add(m_book.merge(update)); }

EvidenceUpdate OrderedMoves::changedSince(EvidenceCursor& cursor) const { return m_book.changedSince(cursor); }

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
    return move.recorded == OrderedMoveState::TakenBack || m_book.notice(idOf(move.order)) != nullptr;
}

bool OrderedMoves::isFull(const Move& move, MonotonicTime now) const
{
    return elapsed(move, now) >= move.plan.fullAt() && isShown(move, now) && !isTakenBack(move);
}

bool OrderedMoves::isShown(const Move& move, MonotonicTime now) const
{
    const bool isMasked = move.canary.isMasked() || move.focus.isMasked() || move.full.isMasked();
    const auto callsUnderLoad = static_cast<double>(move.focus.newCalls());
    const bool stoodUnderLoad = callsUnderLoad >= loadShownPart * move.plan.focusCalls(rateOf(move, now));
    return move.canary.newCalls() >= fewestCalls && stoodUnderLoad && !isMasked;
}

bool OrderedMoves::isFocused(const Move& move, MonotonicTime now) const
{
    const auto time = elapsed(move, now);
    return !isTakenBack(move) && time >= move.plan.focusAt() && time < move.plan.focusEnd();
}

std::uint32_t OrderedMoves::windowOf(const Move& move, MonotonicTime now) const
{
    if (isFull(move, now))
        return s_fullWindow;
    return isFocused(move, now) ? s_focusWindow : s_canaryWindow;
}

NodeName OrderedMoves::focusOf(const Move& move) const
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
    const auto seen = std::max(elapsed(move, now) - evidenceLag, milliseconds { 0 });
    const auto calls = static_cast<double>(move.canary.oldCalls() + move.canary.newCalls());
    return seen > evidenceLag ? calls / std::chrono::duration<double>(seen).count() : 0;
}

double OrderedMoves::shareOf(const Move& move, MonotonicTime now) const
{
    if (isTakenBack(move))
        return 0;
    if (isFull(move, now))
        return 1;
    const auto rate = rateOf(move, now);
    return isFocused(move, now) ? move.plan.focusShare(rate) : move.plan.canaryShare(rate);
}

TrafficSplit OrderedMoves::trafficSplit(const ServiceName& service, MonotonicTime now) const
{
    TrafficSplit it;
    if (const auto held = m_held.find(service); held != m_held.end()) {
        it.next = held->second.to;
        return it;
    }
    const auto found = m_moves.find(service);
    if (found == m_moves.end())
        return it;
    const auto& move = found->second;
    if (move.recorded == OrderedMoveState::Done) {
        it.current = move.order.to;
        return it;
    }
    it.next = move.order.to;
    const bool isFresh = m_tickedAt != MonotonicTime::min() && now - m_tickedAt <= s_longestTickGap;
    it.nextShare = isFresh ? shareOf(move, now) : 0;
    if (isFocused(move, now))
        it.loadTestNode = focusOf(move);
    return it;
}

bool OrderedMoves::hasUnfinishedMove() const
{
    return std::any_of(m_moves.begin(), m_moves.end(), [](const auto& it) { return !hasEnded(it.second); });
}

std::vector<OrderedMoveCommand> OrderedMoves::tick(MonotonicTime now)
{
    std::vector<OrderedMoveCommand> commands;
    m_tickedAt = now;
    add(m_book.publishOwn(now));
    for (auto& [service, move] : m_moves) {
        find(move, commands);
        const auto share = shareOf(move, now);
        if (stageOf(share) != stageOf(move.shownShare)) {
            move.shownShare = share;
            commands.emplace_back(TrafficSplitChanged { service, idOf(move.order).name, { VersionName {}, move.order.to, share, {} } });
        }
        write(move, now, commands);
    }
    return commands;
}

void OrderedMoves::find(Move& move, std::vector<OrderedMoveCommand>& commands)
{
    const auto id = idOf(move.order);
    if (hasEnded(move) || m_book.notice(id))
        return;
    auto finding = move.canary.finding();
    if (!finding)
        finding = move.focus.finding();
    if (!finding)
        finding = move.full.finding();
    if (!finding)
        return;
    const publication::MoveVerdict verdict { publication::MoveOutcome::TakenBack, finding->reason, finding->route, finding->evidence };
    const TakeBackNotice notice { id.name, id.publishedAt, m_self, verdict };
    if (m_book.addNotice(notice))
        commands.emplace_back(BroadcastNotice { notice });
}

OrderedMoveState OrderedMoves::stateOf(const Move& move, MonotonicTime now) const
{
    if (isTakenBack(move))
        return OrderedMoveState::TakenBack;
    if (elapsed(move, now) < move.plan.verdictAt())
        return OrderedMoveState::Running;
    if (isFull(move, now))
        return OrderedMoveState::Done;
    // Too few calls showed what the new version does.
    return elapsed(move, now) >= move.plan.giveUpAt() ? OrderedMoveState::TakenBack : OrderedMoveState::Running;
}

void OrderedMoves::write(Move& move, MonotonicTime now, std::vector<OrderedMoveCommand>& commands)
{
    const auto state = stateOf(move, now);
    if (hasEnded(move) || move.recorded == state)
        return;
    const auto rank = static_cast<int>(writerRank(idOf(move.order), m_self, m_nodes));
    if (move.wanted != state) {
        move.wanted = state;
        move.writeAt = now + s_rankStep * rank;
    }
    if (now < move.writeAt)
        return;
    move.writeAt = now + s_writeRetry * (1 + rank);
    commands.emplace_back(WriteStatus { { move.order.service, move.order.to, move.order.offset, state } });
}

}
