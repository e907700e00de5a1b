#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace carobpath::routing {

/// Refuses calls of one service at their entry node while its upstreams take few of what they are offered. Answers the load of more calls
/// than the service bears: an offer that is refused costs two nodes processor time and room on their links.
///
/// Of each rank, as many calls are offered as were taken lately, and half as many more, which find room that has come free.
class CallThrottle {
public:
    /// Averaging time of the calls that ended.
    static constexpr std::chrono::duration<double> s_memory { 0.5 };
    /// Calls that are offered for each that was taken.
    static constexpr double s_offeredPerTaken = 1.5;
    /// Refused calls within the averaging time that cost an instance little, and show no lasting want of room.
    static constexpr double s_bearableRefusals = 3;
    /// Largest part of the calls of a rank that is refused without an offer.
    static constexpr double s_maxRefusedPart = 0.9;
    /// Shortest time after which a refused caller may come back.
    static constexpr std::chrono::milliseconds s_minRetryAfter { 500 };

    /// A call asks to be offered. \param draw uniform, from 0 to 1.
    /// \returns whether it may be.
    bool tryOffer(std::uint32_t rank, double draw, MonotonicTime now);
    /// An offered call has ended: an upstream took it, or all refused it for load.
    /// \param retryAfter what the last upstream named; empty where it named nothing.
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
