#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace carobpath::routing {

/// Refuses calls of one service at their entry node while its upstreams refuse most of what they are offered: an offer that is refused
/// costs two nodes processor time and room on their links, which the calls that can be served need.
///
/// Of each rank only as many calls are offered as were taken lately, and a part more, which finds room that has come free. Answers the
/// load of more calls than the service bears.
class CallThrottle {
public:
    /// Averaging time of the calls that ended.
    static constexpr std::chrono::duration<double> s_memory { 0.5 };
    /// Calls that are offered for each that was taken.
    static constexpr double s_offeredPerTaken = 1.5;
    /// Most calls of a rank that are refused without an offer, as a part.
    static constexpr double s_mostRefused = 0.9;
    /// Shortest time after which a refused caller may come back.
    static constexpr std::chrono::milliseconds s_minRetryAfter { 500 };

    /// A call asks to be offered. \param draw uniform, from 0 to 1.
    /// \returns whether it may be.
    bool tryOffer(std::uint32_t rank, double draw, MonotonicTime now);
    /// An offered call has ended: an upstream took it, or all refused it for load.
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
