#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/routing/CrashReport.h"
#include "carobpath/routing/RunningCalls.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace carobpath::routing {

/// Distinguishes a crash of the backend server from a lost connection. A lost connection starts a suspicion, which
/// records the requests in flight at the first loss. It is confirmed as a crash if the server then refuses a
/// connection, restarts, or has lost all of several requests. An answer before that ends the suspicion, unless its
/// request was sent before the first loss and is answered within \c s_burstTime: it then only clears its own request.
class CrashDetector {
public:
    /// Time after the first loss within which a suspicion can be confirmed as a crash.
    static constexpr std::chrono::milliseconds s_maxConfirmTime { 3000 };
    /// Time within which all of several requests must be lost to count as a crash without other evidence.
    static constexpr std::chrono::milliseconds s_burstTime { 500 };
    /// Maximum number of crashes that are kept until they are taken.
    static constexpr std::size_t s_maxCrashes = 16;

    /// \param ended the call that ended with the result.
    /// \param running calls that are still in flight.
    void onResult(BackendResult, const RunningCall& ended, const RunningCalls& running, MonotonicTime now);
    /// The server announced itself as cold, or its announcement expired.
    void onRestarted(MonotonicTime now);
    /// The server refused a probe connection.
    void onProbeRefused(MonotonicTime now);

    /// \returns the requests that may have caused the earliest crash that was not taken yet; empty if there is none.
    std::optional<std::vector<Fingerprint>> takeCrash();

private:
    struct Suspicion {
        MonotonicTime since;
        std::multiset<Fingerprint> running;
        std::set<Fingerprint> suspects;
        std::uint32_t lost = 0;
    };

    void onLost(Fingerprint, const RunningCalls& running, MonotonicTime now);
    void onAnswered(const RunningCall&, MonotonicTime now);
    void confirm(MonotonicTime now);

    std::optional<Suspicion> m_suspicion;
    std::deque<std::vector<Fingerprint>> m_crashes;
};

}
