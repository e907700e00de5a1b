#include "carobpath/moves/OrderedMoves.h"

#include "MoveWriters.h"

// What a move's state in the store says, and when a node asks for one to be written.
namespace carobpath::moves {

bool isSameOrder(const MoveOrder& earlier, const MoveOrder& later)
{
    const bool isLaterEra = publication::eraOfPacked(earlier.offset) < publication::eraOfPacked(later.offset);
    const bool isEqual = earlier.service == later.service && earlier.to == later.to && earlier.duration == later.duration;
    return isEqual && (isLaterEra || earlier.offset == later.offset);
}

bool isStatusOf(const MoveStatus& status, const MoveOrder& order)
{
    if (status.order == order.offset)
        return true;
    return publication::eraOfPacked(status.order) < publication::eraOfPacked(order.offset) && status.to == order.to;
}

bool mayReplace(const MoveStatus& held, const MoveStatus& status)
{
    if (held.order != status.order)
        return held.order < status.order;
    return held.state == OrderedMoveState::Running && status.state != held.state;
}

void OrderedMoves::onStatus(const MoveStatus& status)
{
    const bool isNews = !isOutdated(status);
    if (isNews) {
        m_statuses.insert_or_assign(status.service, status);
        m_outdatedInStore.erase(status.service);
    } else if (status.order < m_statuses.at(status.service).order) {
        m_outdatedInStore.insert(status.service);
    }
    const auto it = m_moves.find(status.service);
    if (it == m_moves.end())
        return;
    auto& move = it->second;
    if (isNews)
        updateVersions(move, status);
    if (!isStatusOf(status, move.order)) {
        const bool isReplaced = move.recorded && m_outdatedInStore.contains(status.service);
        move.isRecordSuspect = move.isRecordSuspect || isReplaced;
        return;
    }
    // The first recorded final state wins.
    if (!move.recorded || *move.recorded == OrderedMoveState::Running)
        move.recorded = status.state;
    const bool isForgotten = hasEnded(move) && status.state == OrderedMoveState::Running;
    move.isRecordSuspect = status.order != move.order.offset || isForgotten;
}

bool OrderedMoves::isOutdated(const MoveStatus& status) const
{
    const auto known = m_statuses.find(status.service);
    if (known == m_statuses.end())
        return false;
    if (known->second.order != status.order)
        return status.order < known->second.order;
    return known->second.state != OrderedMoveState::Running && known->second.state != status.state;
}

OrderedMoveState OrderedMoves::stateOf(const Move& move, MonotonicTime now) const
{
    if (isTakenBack(move))
        return OrderedMoveState::TakenBack;
    if (elapsed(move, now) < move.plan.verdictAt())
        return OrderedMoveState::Running;
    if (takesAllCalls(move, now))
        return OrderedMoveState::Done;
    // There is insufficient evidence on the new version, unless it is this node that lacks it.
    const bool givesUp = elapsed(move, now) >= move.plan.giveUpAt() && isEvidenceCurrent(now);
    return givesUp ? OrderedMoveState::TakenBack : OrderedMoveState::Running;
}

void OrderedMoves::requestWrite(Move& move, MonotonicTime now, std::vector<OrderedMoveCommand>& commands)
{
    const auto newest = m_statuses.find(move.order.service);
    const bool isReplaced = newest != m_statuses.end() && newest->second.order > move.order.offset;
    const auto state = hasEnded(move) ? *move.recorded : stateOf(move, now);
    const bool isRecorded = move.recorded == state && !move.isRecordSuspect;
    if (isReplaced || isRecorded)
        return;
    const auto rank = static_cast<int>(writerRank(idOf(move.order), m_self, m_nodes));
    if (move.wantedState != state) {
        move.wantedState = state;
        move.writeAt = now + s_rankStep * rank;
    }
    if (now < move.writeAt)
        return;
    move.writeAt = now + s_writeRetryInterval * (1 + rank);
    commands.emplace_back(WriteStatus { { move.order.service, move.order.to, move.order.offset, state, move.versions }, basisOf(move, now) });
}

}
