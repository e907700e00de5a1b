#pragma once

#include "carobpath/foundation/EventLog.h"
#include "carobpath/moves/MoveCommand.h"

/// The lines of the time line that the drivers of both kinds of moves write.
namespace carobpath::node::Detail {

void recordTakenBack(EventLog&, const moves::TakeBackNotice&);
void recordShare(EventLog&, const moves::TrafficSplitChanged&);

}
