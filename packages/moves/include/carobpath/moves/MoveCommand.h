#pragma once

#include "carobpath/moves/Evidence.h"
#include "carobpath/moves/TrafficSplit.h"

#include <variant>
#include <vector>

namespace carobpath::moves {

/// Append the terminal record of a move to the log. The command is repeated until the configuration contains a verdict.
struct AppendVerdict {
    MoveName move;
    publication::Offset movePublishedAt = 0;
    publication::MoveVerdict verdict;
};

/// Send the notice to every peer at once. It is also part of \c MoveEngine::changedSince.
struct BroadcastNotice {
    TakeBackNotice notice;
};

/// The traffic split of a service changed; recorded in the time line.
struct TrafficSplitChanged {
    ServiceName service;
    MoveName move;
    TrafficSplit split;
};

using MoveCommand = std::variant<AppendVerdict, BroadcastNotice, TrafficSplitChanged>;

/// Result of an admitted call as counted in a move's evidence.
enum class CallResult : std::uint8_t {
    Succeeded,
    Failed,
    /// Shed by the backend server without being executed.
    Refused,
};

}
