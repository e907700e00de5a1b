#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstdint>

namespace carobpath::routing {

/// Limits the number of concurrent downloads so that their answers occupy the instance's network link for a bounded
/// time, since all other traffic on the link queues behind them. The link is modelled as a queue of answers, because
/// data written to a socket may not have been sent yet. The limit matters for instances whose slots can produce more
/// data than the link carries.
class DownloadLimit {
public:
    /// Maximum time for which the answers of running and finished downloads may occupy the link.
    static constexpr std::chrono::milliseconds s_maxBacklog { 250 };
    static constexpr double s_sampleWeight = 0.1;

    /// \param linkBytesPerSecond bandwidth of the link; 0 if unknown, which disables the limit.
    explicit DownloadLimit(double linkBytesPerSecond)
        : m_linkBytesPerSecond(linkBytesPerSecond)
    {
    }

    /// \param bodyTime time from the first byte of the answer until its last byte was written.
    void onAnswered(std::uint64_t bodyBytes, std::chrono::nanoseconds bodyTime, MonotonicTime now);
    /// \returns the maximum number of concurrent downloads; 0 while the backlog of finished downloads is at its
    /// maximum or above.
    std::uint32_t value(MonotonicTime now) const;
    /// \returns the time that an answer written now needs until it has been sent.
    std::chrono::nanoseconds untilSent(MonotonicTime now) const;
    /// \returns the time until the backlog of finished downloads has fallen to the maximum.
    std::chrono::nanoseconds untilAllowed(MonotonicTime now) const;

private:
    std::chrono::nanoseconds backlog(MonotonicTime now) const;

    double m_linkBytesPerSecond;
    /// Moving average; 0 before the first answer.
    double m_meanBytes = 0;
    /// Time at which the link will have sent the answers of finished downloads.
    MonotonicTime m_busyUntil {};
};

}
