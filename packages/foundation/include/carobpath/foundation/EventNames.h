#pragma once

/// \file
/// Every kind of event that the project's processes write.

#include <string_view>

namespace carobpath {

/// Name of a kind of event on the time line.
struct EventName {
    std::string_view text;
};

namespace event {

    inline constexpr EventName started { "started" };
    inline constexpr EventName ready { "ready" };
    inline constexpr EventName notReady { "not-ready" };
    inline constexpr EventName draining { "draining" };
    inline constexpr EventName stopped { "stopped" };
    inline constexpr EventName settingsReloaded { "settings-reloaded" };
    inline constexpr EventName settingsRefused { "settings-refused" };
    inline constexpr EventName quotaRefused { "quota-refused" };
    inline constexpr EventName linkLoaded { "link-loaded" };
    inline constexpr EventName threadDelayed { "thread-delayed" };

    inline constexpr EventName configurationRead { "configuration-read" };
    inline constexpr EventName stateFetched { "state-fetched" };
    inline constexpr EventName configurationInForce { "configuration-in-force" };
    inline constexpr EventName configurationRefused { "configuration-refused" };
    inline constexpr EventName configurationPassedOver { "configuration-passed-over" };
    inline constexpr EventName recordRejected { "record-rejected" };
    inline constexpr EventName checkpointWritten { "checkpoint-written" };

    inline constexpr EventName logUnavailable { "log-unavailable" };
    inline constexpr EventName logAvailable { "log-available" };

    inline constexpr EventName streamAhead { "stream-ahead" };
    inline constexpr EventName readAbandoned { "read-abandoned" };
    inline constexpr EventName readFailed { "read-failed" };
    inline constexpr EventName entriesSkipped { "entries-skipped" };
    inline constexpr EventName storeReturned { "store-returned" };
    inline constexpr EventName directoryFailed { "directory-failed" };

    inline constexpr EventName upstreamAnnounced { "upstream-announced" };
    inline constexpr EventName announcementRefused { "announcement-refused" };
    inline constexpr EventName departureRecorded { "departure-recorded" };
    inline constexpr EventName departureFailed { "departure-failed" };
    inline constexpr EventName upstreamGone { "upstream-gone" };

    inline constexpr EventName callEnded { "call-ended" };
    inline constexpr EventName attemptEnded { "attempt-ended" };
    inline constexpr EventName admissionRefused { "admission-refused" };
    inline constexpr EventName backendEnded { "backend-ended" };
    inline constexpr EventName backendReported { "backend-reported" };
    inline constexpr EventName backendCrashed { "backend-crashed" };

    inline constexpr EventName moveOrdered { "move-ordered" };
    inline constexpr EventName orderRefused { "order-refused" };
    inline constexpr EventName moveRecorded { "move-recorded" };
    inline constexpr EventName moveStateRequested { "move-state-requested" };
    inline constexpr EventName moveStateWritten { "move-state-written" };
    inline constexpr EventName moveStateStoodBack { "move-state-stood-back" };
    inline constexpr EventName moveRecordFailed { "move-record-failed" };
    inline constexpr EventName moveShareChanged { "move-share-changed" };
    inline constexpr EventName moveTakenBack { "move-taken-back" };
    inline constexpr EventName verdictRecorded { "verdict-recorded" };

}

}
