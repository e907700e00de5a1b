#pragma once

#include <chrono>
#include <cstdint>

namespace carobpath::routing {

/// How many downloads run at a time, so that their answers keep the instance's link busy for a bounded time: what else
/// goes over the link waits behind them. Answers instances whose links bear less than their slots can send.
class DownloadLimit {
public:
    /// Time for which the answers of running downloads may keep the link busy.
    static constexpr std::chrono::milliseconds s_longestBacklog { 250 };
    static constexpr double s_weight = 0.1;

    /// \param linkBytesPerSecond 0 where the link is not known; nothing is limited then.
    explicit DownloadLimit(double linkBytesPerSecond)
        : m_linkBytesPerSecond(linkBytesPerSecond)
    {
    }

    void onAnswered(std::uint64_t bodyBytes);
    /// \returns at least one.
    std::uint32_t value() const;

private:
    double m_linkBytesPerSecond;
    /// Moving average; 0 before the first answer.
    double m_meanBytes = 0;
};

}
