#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace carobpath::routing {

/// Bounds the offers of calls to the upstreams of one service while these take few of them. Answers the load of more calls than the service
/// bears: an offer that is refused costs two nodes processor time and room on their links, at whichever attempt of a call it is.
///
/// For each rank it allows twice as many offers as calls were taken lately, which finds room that has come free. A call that may not be offered, or
/// not again, is refused at its entry node.
class CallThrottle {
public:
    /// Averaging time of the offers that ended.
    static constexpr std::chrono::duration<double> s_memory { 0.5 };
    /// Offers for each call that was taken.
    static constexpr double s_offeredPerTaken = 2;
    /// Refused offers within the averaging time that are borne, since they show no lasting want of room.
    static constexpr double s_bearableRefusals = 10;
    /// Largest part of the offers of a rank that is refused here.
    static constexpr double s_maxRefusedPart = 0.9;
    /// Shortest time after which a refused caller may come back.
    static constexpr std::chrono::milliseconds s_minRetryAfter { 500 };

    /// A call asks to be offered, for the first time or once more. \param draw uniform, from 0 to 1.
    /// \returns whether it may be.
    bool tryOffer(std::uint32_t rank, double draw, MonotonicTime now);
    /// An offer has ended: the upstream took the call, or refused it for load.
    /// \param retryAfter what the upstream named; empty where it named nothing.
    void onEnded(std::uint32_t rank, bool isTaken, std::optional<std::chrono::milliseconds> retryAfter, MonotonicTime now);

    /// \returns the time after which a call of the rank that was refused here may come back.
    std::chrono::milliseconds retryAfter(std::uint32_t rank) const;

private:
    struct Counts {
        /// Decaying counts.
        double asked = 0;
        double taken = 0;
        MonotonicTime at {};
        std::chrono::milliseconds retryAfter {};
    };

    Counts& countsOf(std::uint32_t rank, MonotonicTime now);

    std::map<std::uint32_t, Counts> m_byRank;
};

}
