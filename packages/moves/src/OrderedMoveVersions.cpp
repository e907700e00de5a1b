#include "carobpath/moves/OrderedMoves.h"

// What a move knows of the versions of its service.
namespace carobpath::moves {

void OrderedMoves::setVersions(Move& move, const Move* known, MonotonicTime now) const
{
    if (known) {
        move.versions = known->versions.afterMove(known->order.to, reachedState(*known, now));
        move.versionsAsOf = known->order.offset;
    } else {
        addServingUpstreams(move);
    }
    move.versions.readmit(move.order.to);
    if (const auto status = m_statuses.find(move.order.service); status != m_statuses.end())
        updateVersions(move, status->second);
}

void OrderedMoves::addServingUpstreams(Move& move) const
{
    for (const auto& it : m_upstreams) {
        if (it.service == move.order.service && it.version != move.order.to)
            move.versions.addServing(it.version);
    }
}

void OrderedMoves::updateVersions(Move& move, const MoveStatus& status)
{
    if (isStatusOf(status, move.order)) {
        // A writer of an earlier release leaves the versions out.
        if (status.versions.isEmpty())
            return;
        move.versions = status.versions;
        move.versionsAsOf = move.order.offset;
    } else if (status.order >= move.versionsAsOf && status.order < move.order.offset) {
        move.versions = status.versions.afterMove(status.to, status.state);
        move.versionsAsOf = status.order;
    }
    move.versions.readmit(move.order.to);
}

OrderedMoveState OrderedMoves::reachedState(const Move& move, MonotonicTime now) const
{
    if (hasEnded(move))
        return *move.recorded;
    if (isTakenBack(move))
        return OrderedMoveState::TakenBack;
    return takesAllCalls(move, now) ? OrderedMoveState::Done : OrderedMoveState::Running;
}

bool OrderedMoves::isAlreadyServing(const Move& move) { return move.versions.isOnlyServing(move.order.to); }

bool OrderedMoves::isCurrent(const MoveStatus& status) const
{
    const auto it = m_moves.find(status.service);
    return it != m_moves.end() && it->second.order.offset == status.order;
}

ServiceVersions OrderedMoves::versionsOf(const MoveStatus& status) const
{
    return isCurrent(status) ? m_moves.at(status.service).versions : status.versions;
}

}
