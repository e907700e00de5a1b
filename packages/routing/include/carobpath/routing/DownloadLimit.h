#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstdint>

namespace carobpath::routing {

/// How many downloads run at a time, so that their answers keep the instance's link busy for a bounded time: what else
/// goes over the link waits behind them. The link is taken as a queue of answers, since what was written to a socket may
/// not have left yet. Answers instances whose links bear less than their slots can send.
class DownloadLimit {
public:
    /// Time for which the answers of running and ended downloads may keep the link busy.
    static constexpr std::chrono::milliseconds s_longestBacklog { 250 };
    static constexpr double s_weight = 0.1;

    /// \param linkBytesPerSecond 0 where the link is not known; nothing is limited then.
    explicit DownloadLimit(double linkBytesPerSecond)
        : m_linkBytesPerSecond(linkBytesPerSecond)
    {
    }

    /// \param bodyTime from the first byte of the answer to its last being written.
    void onAnswered(std::uint64_t bodyBytes, std::chrono::nanoseconds bodyTime, MonotonicTime now);
    /// \returns how many downloads may run; 0 while the link is busy with the answers of ended ones.
    std::uint32_t value(MonotonicTime now) const;
    /// \returns how long an answer that is written now takes to leave.
    std::chrono::nanoseconds untilSent(MonotonicTime now) const;
    /// \returns how long the answers of ended downloads keep the link busy beyond what they may.
    std::chrono::nanoseconds untilOpen(MonotonicTime now) const;

private:
    std::chrono::nanoseconds backlog(MonotonicTime now) const;

    double m_linkBytesPerSecond;
    /// Moving average; 0 before the first answer.
    double m_meanBytes = 0;
    /// When the link has sent the answers of ended downloads.
    MonotonicTime m_busyUntil {};
};

}
