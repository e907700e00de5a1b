#pragma once

#include <string_view>

namespace carobpath {

/// Name of a kind of event on the time line.
struct EventName {
    std::string_view text;
};

/// Every kind of event that the project's processes write.
namespace event {

    inline constexpr EventName started { "started" };
    inline constexpr EventName ready { "ready" };
    inline constexpr EventName notReady { "not-ready" };
    inline constexpr EventName draining { "draining" };
    inline constexpr EventName stopped { "stopped" };

    inline constexpr EventName configurationInForce { "configuration-in-force" };
    inline constexpr EventName configurationRefused { "configuration-refused" };
    inline constexpr EventName recordRejected { "record-rejected" };
    inline constexpr EventName checkpointWritten { "checkpoint-written" };
    inline constexpr EventName digestMismatch { "digest-mismatch" };
    inline constexpr EventName wholeSetFetched { "whole-set-fetched" };

    inline constexpr EventName logUnavailable { "log-unavailable" };
    inline constexpr EventName logAvailable { "log-available" };

    inline constexpr EventName peerJoined { "peer-joined" };
    inline constexpr EventName peerSuspected { "peer-suspected" };
    inline constexpr EventName peerLost { "peer-lost" };
    inline constexpr EventName upstreamAnnounced { "upstream-announced" };
    inline constexpr EventName upstreamDraining { "upstream-draining" };
    inline constexpr EventName upstreamGone { "upstream-gone" };

    inline constexpr EventName callRefused { "call-refused" };
    inline constexpr EventName callRetried { "call-retried" };
    inline constexpr EventName callAborted { "call-aborted" };
    inline constexpr EventName backendCrashed { "backend-crashed" };
    inline constexpr EventName fingerprintQuarantined { "fingerprint-quarantined" };
    inline constexpr EventName connectionSuspected { "connection-suspected" };

    inline constexpr EventName moveStarted { "move-started" };
    inline constexpr EventName moveShareChanged { "move-share-changed" };
    inline constexpr EventName moveTakenBack { "move-taken-back" };
    inline constexpr EventName moveDone { "move-done" };
    inline constexpr EventName moveWithdrawn { "move-withdrawn" };
    inline constexpr EventName verdictRecorded { "verdict-recorded" };

    inline constexpr EventName clockClamped { "clock-clamped" };

    inline constexpr EventName recordPublished { "record-published" };
    inline constexpr EventName appendUncertain { "append-uncertain" };

}

}
