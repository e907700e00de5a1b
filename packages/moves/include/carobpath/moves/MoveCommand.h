#pragma once

#include "carobpath/moves/Evidence.h"
#include "carobpath/moves/TrafficSplit.h"

#include <variant>
#include <vector>

namespace carobpath::moves {

/// Append the terminal record of a move to the log. Asked for again until the configuration shows one.
struct AppendVerdict {
    MoveName move;
    publication::Offset movePublishedAt = 0;
    publication::MoveVerdict verdict;
};

/// Send the notice to every peer at once; it also travels with \c MoveEngine::changedSince.
struct BroadcastNotice {
    TakeBackNotice notice;
};

/// The split of a service's calls changed; for the time line.
struct TrafficSplitChanged {
    ServiceName service;
    MoveName move;
    TrafficSplit split;
};

using MoveCommand = std::variant<AppendVerdict, BroadcastNotice, TrafficSplitChanged>;

/// How an admitted call ended, as far as a move's evidence is concerned.
enum class CallResult : std::uint8_t {
    Succeeded,
    Failed,
    /// Shed by the backend server; it did not run.
    Refused,
};

}
