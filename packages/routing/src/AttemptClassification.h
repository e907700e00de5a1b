#pragma once

#include "carobpath/routing/Call.h"
#include "carobpath/routing/NodeObservation.h"
#include "carobpath/routing/UpstreamStatistics.h"

namespace carobpath::routing {

/// An attempt that was cut by its deadline sooner than this says nothing about its upstream: the caller was short of time.
inline constexpr std::chrono::milliseconds minInactivityTime { 250 };

/// \returns what the end of an attempt says about the upstream.
UpstreamSignal signOf(const AttemptResult&);

/// \returns what the end of an attempt says about the node that it was sent to.
NodeReachability reachabilityOf(const AttemptResult&);

/// \returns whether another upstream may do better.
bool otherUpstreamMayHelp(const AttemptResult&);

/// \returns whether a node reports that its backend server's connection broke while it ran the request, as it does when
/// the backend server crashes.
bool isBackendLoss(const AttemptResult&);

/// \returns whether a backend server was, or may have been, handed the call, be it that it refused.
bool reachedBackend(const AttemptResult&);

/// \returns whether the attempt put no load on any backend server, so that a retry cannot multiply load.
bool putNoLoad(const AttemptResult&);

/// \returns the reason that the caller is told where the attempt gave none.
RefusalReason reasonOf(const AttemptResult&);

/// \returns when a caller may come back after a refusal, where that helps.
/// \param repeatable whether the call may be done twice; if not, an unknown outcome must not invite a second call.
std::optional<std::chrono::milliseconds> defaultRetryAfter(RefusalReason, Outcome, bool repeatable);

}
