#pragma once

#include "carobpath/routing/Call.h"
#include "carobpath/routing/NodeObservation.h"
#include "carobpath/routing/UpstreamStatistics.h"

namespace carobpath::routing {

/// An attempt whose deadline ended it sooner than this is no evidence against its upstream: the caller left too little
/// time.
inline constexpr std::chrono::milliseconds minInactivityTime { 250 };

/// \returns the signal about the upstream that the result of an attempt gives.
UpstreamSignal signalOf(const AttemptResult&);

/// \returns the reachability of the node that an attempt was sent to, as observed by the attempt.
NodeReachability reachabilityOf(const AttemptResult&);

/// \returns whether an attempt at another upstream may succeed.
bool otherUpstreamMayHelp(const AttemptResult&);

/// \returns whether the node reported that the connection to its backend server broke during the request, as it does
/// when the backend server crashes.
bool isBackendLoss(const AttemptResult&);

/// \returns whether a backend server received or may have received the call, including one that refused it.
bool reachedBackend(const AttemptResult&);

/// \returns whether the admitting node refused the attempt because its backend server is busy.
bool wasRefusedForLoad(const AttemptResult&);

/// \returns whether the attempt put no load on any backend server, so that a retry cannot multiply load.
bool causedNoLoad(const AttemptResult&);

/// \returns the reason of the result, or the default reason for its outcome if it has none.
RefusalReason reasonOf(const AttemptResult&);

/// \returns the default delay after which a caller may retry a refused call; empty if a retry does not help.
/// \param repeatable whether the call may run twice. If not, an unknown outcome must not invite a second call.
std::optional<std::chrono::milliseconds> defaultRetryAfter(RefusalReason, Outcome, bool repeatable);

}
