#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <optional>

namespace carobpath::routing {

/// A mean in which a sample counts less as it grows older.
class FadingMean {
public:
    /// Time in which the weight of a sample falls to about a third.
    static constexpr std::chrono::duration<double> s_memory { 3 };

    void add(std::chrono::nanoseconds sample, MonotonicTime now);
    /// \returns the mean; empty while all samples together weigh less than \p leastWeight fresh ones.
    std::optional<std::chrono::nanoseconds> value(double leastWeight, MonotonicTime now) const;

private:
    double fading(MonotonicTime now) const;

    double m_seconds = 0;
    double m_weight = 0;
    MonotonicTime m_at;
};

/// Decides which part of the calls of a service leaves the failure domain without an offer in it. The part grows while calls take
/// longer in this domain than in the others, and falls otherwise, so that callers of a domain with more load than its upstreams
/// carry wait no longer than those of the others. It is 0 where the domains are alike.
class DomainBalance {
public:
    /// Change of the part in a second, for a domain that is slower by far.
    static constexpr double s_gainPerSecond = 0.12;
    /// Change of the part in a second where the domains take about the same time.
    static constexpr double s_decayPerSecond = 0.005;
    /// Domains whose times differ by less than this factor are alike: a call to another one has a longer way.
    static constexpr double s_tolerance = 1.15;
    static constexpr double s_mostShare = 0.5;
    /// A call that was refused for load counts as this many times what it could have waited: it has to be offered again.
    static constexpr int s_refusalFactor = 2;
    /// Weight of samples from which on a mean is believed.
    static constexpr double s_leastLocalWeight = 5;
    static constexpr double s_leastRemoteWeight = 1;

    /// A call of this node ended at an upstream of this domain after this time, or was refused there; see \c s_refusalFactor.
    void onLocalCall(std::chrono::nanoseconds took, MonotonicTime now) { m_local.add(took, now); }
    /// A node of another domain told the mean time of its calls in its own domain.
    void onRemoteTime(std::chrono::nanoseconds mean, MonotonicTime now) { m_remote.add(mean, now); }

    /// \returns the mean time of this node's calls in its own domain; empty if there were too few lately.
    std::optional<std::chrono::nanoseconds> localTime(MonotonicTime now) const { return m_local.value(s_leastLocalWeight, now); }

    /// \returns the part of the calls that leaves the domain, from 0 to \c s_mostShare.
    double remoteShare(MonotonicTime now);

private:
    double changePerSecond(MonotonicTime now) const;

    FadingMean m_local;
    FadingMean m_remote;
    double m_share = 0;
    std::optional<MonotonicTime> m_updatedAt;
};

}
