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

}
