#pragma once

#include "carobpath/capacity/DecayingMean.h"
#include "carobpath/foundation/Time.h"

#include <chrono>
#include <optional>

namespace carobpath::routing {

/// Decides which part of the calls of a service leaves the failure domain without an offer in it. The part grows while calls take
/// longer in this domain than in the others, and falls otherwise, so that callers of a domain with more load than its upstreams
/// carry wait no longer than those of the others. It is 0 where the domains are alike.
class DomainBalance {
public:
    static constexpr std::chrono::seconds s_averagingTime { 3 };
    /// Change of the part in a second, for a domain that is slower by far.
    static constexpr double s_gainPerSecond = 0.12;
    /// Change of the part in a second where the domains take about the same time.
    static constexpr double s_decayPerSecond = 0.005;
    /// Domains whose times differ by less than this factor are alike: a call to another one has a longer way.
    static constexpr double s_tolerance = 1.15;
    static constexpr double s_mostShare = 0.5;
    /// A call that was refused for load counts as this many times what it could have waited: it has to be offered again.
    static constexpr int s_refusalFactor = 2;
    /// Weight of samples from which on a mean is used; see \c capacity::DecayingMean::weight.
    static constexpr double s_leastLocalWeight = 5;
    static constexpr double s_leastRemoteWeight = 1;

    /// A call of this node ended at an upstream of this domain after this time, or was refused there; see \c s_refusalFactor.
    void onLocalCall(std::chrono::nanoseconds took, MonotonicTime now);
    /// A node of another domain told the mean time of its calls in its own domain.
    void onRemoteTime(std::chrono::nanoseconds mean, MonotonicTime now);

    /// \returns the mean time of this node's calls in its own domain; empty if there were too few lately.
    std::optional<std::chrono::nanoseconds> localTime(MonotonicTime now) const;

    /// \returns the part of the calls that leaves the domain, from 0 to \c s_mostShare.
    double remoteShare(MonotonicTime now);

private:
    double changePerSecond(MonotonicTime now) const;

    /// In seconds.
    capacity::DecayingMean m_local { s_averagingTime };
    capacity::DecayingMean m_remote { s_averagingTime };
    double m_share = 0;
    std::optional<MonotonicTime> m_updatedAt;
};

}
