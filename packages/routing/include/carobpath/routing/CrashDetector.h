#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/routing/CrashReport.h"

#include <cstdint>
#include <optional>
#include <set>
#include <span>
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

    using Finding = std::optional<std::vector<Fingerprint>>;

    /// \param running requests that are still in flight.
    /// \returns the suspects, if this makes it a crash; the same for the functions below.
    Finding onConnectionLost(Fingerprint lost, std::span<const Fingerprint> running, MonotonicTime now);
    Finding onConnectFailed(MonotonicTime now);
    /// The server announced itself as cold, or its announcement lapsed.
    Finding onRestarted(MonotonicTime now);
    /// \param dispatchedAt moment at which the answered request was sent. One that was sent before the first loss may
    /// have been answered just before the crash.
    void onAnswered(Fingerprint, MonotonicTime dispatchedAt, MonotonicTime now);

private:
    struct Suspicion {
        MonotonicTime since;
        std::multiset<Fingerprint> running;
        std::set<Fingerprint> suspects;
        std::uint32_t lost = 0;
    };

    Finding confirm(MonotonicTime now);

    std::optional<Suspicion> m_suspicion;
};

}
