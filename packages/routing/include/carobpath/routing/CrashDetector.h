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

/// Tells a crash of the backend server from a connection that was cut. Lost connections make a suspicion, which holds
/// the requests in flight at the first loss. It becomes a crash when the server then takes no connection, announces
/// itself anew, or has lost every one of several requests; an answer before that ends it.
class CrashDetector {
public:
    /// Time after the first loss in which a suspicion can become a crash.
    static constexpr std::chrono::milliseconds s_confirmWithin { 3000 };
    /// Time in which several requests must be lost to be one crash by themselves.
    static constexpr std::chrono::milliseconds s_burst { 500 };
    /// Crashes that are kept until they are taken.
    static constexpr std::size_t s_maxCrashes = 16;

    /// \param ended the call that ended so.
    /// \param running calls that are still in flight.
    void onResult(BackendResult, const RunningCall& ended, const RunningCalls& running, MonotonicTime now);
    /// The server announced itself as cold, or its announcement lapsed.
    void onRestarted(MonotonicTime now);
    /// A connection that was made to find out was refused.
    void onProbeRefused(MonotonicTime now);

    /// \returns the requests that may have crashed the server, once for each crash, the earliest first.
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
