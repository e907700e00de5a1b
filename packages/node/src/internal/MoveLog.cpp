#include "internal/MoveLog.h"

#include "carobpath/publication/EnumText.h"

namespace carobpath::node::Detail {

void recordTakenBack(EventLog& events, const moves::TakeBackNotice& notice)
{
    events.record(Event(event::moveTakenBack)
                      .with("move", notice.move)
                      .with("observer", notice.observer)
                      .with("reason", publication::toString(notice.verdict.reason))
                      .with("route", notice.verdict.route)
                      .with("evidence", notice.verdict.evidence));
}

void recordShare(EventLog& events, const moves::TrafficSplitChanged& change)
{
    events.record(Event(event::moveShareChanged)
                      .with("move", change.move)
                      .with("service", change.service)
                      .with("share", change.split.nextShare));
}

std::string_view toString(moves::OrderedMoveState state)
{
    switch (state) {
    case moves::OrderedMoveState::Done:
        return "done";
    case moves::OrderedMoveState::TakenBack:
        return "taken-back";
    case moves::OrderedMoveState::Running:
        break;
    }
    return "running";
}

void recordStateRequested(EventLog& events, const moves::WriteStatus& command)
{
    const auto& basis = command.basis;
    events.record(Event(event::moveStateRequested)
                      .with("service", command.status.service)
                      .with("to", command.status.to)
                      .with("order", command.status.order)
                      .with("state", toString(command.status.state))
                      .with("elapsedMs", basis.elapsed)
                      .with("tickGapMs", basis.tickGap)
                      .with("canaryCalls", basis.canaryCalls)
                      .with("loadTestCalls", basis.loadTestCalls)
                      .with("loadTestCallsNeeded", basis.loadTestCallsNeeded)
                      .with("masked", basis.isMasked));
}

void recordState(EventLog& events, EventName name, const moves::MoveStatus& status, const std::optional<moves::MoveStatus>& held)
{
    Event it(name);
    it.with("service", status.service).with("to", status.to).with("order", status.order).with("state", toString(status.state));
    if (held)
        it.with("heldOrder", held->order).with("heldState", toString(held->state));
    events.record(it);
}

}
