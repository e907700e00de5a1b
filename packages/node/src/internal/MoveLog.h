#pragma once

#include "carobpath/foundation/EventLog.h"
#include "carobpath/foundation/EventNames.h"
#include "carobpath/moves/MoveCommand.h"
#include "carobpath/moves/OrderedMoves.h"

#include <optional>
#include <string_view>

/// The lines of the time line that the drivers of both kinds of moves write.
namespace carobpath::node::Detail {

void recordTakenBack(EventLog&, const moves::TakeBackNotice&);
void recordShare(EventLog&, const moves::TrafficSplitChanged&);

/// \returns the text that stands in logs: "running", "done" or "taken-back".
std::string_view toString(moves::OrderedMoveState);
void recordStateRequested(EventLog&, const moves::WriteStatus&);
/// \param held the state that the store held before; empty if it held none.
void recordState(EventLog&, EventName, const moves::MoveStatus&, const std::optional<moves::MoveStatus>& held);

}
