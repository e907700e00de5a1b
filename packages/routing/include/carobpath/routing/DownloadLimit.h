#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstdint>

namespace carobpath::routing {

/// Limits the number of concurrent downloads so that their answers occupy the instance's network link for a bounded
/// time, since all other traffic on the link queues behind them. Until the link's backlog is measured, the link is
/// modelled as a queue of answers, because data written to a socket may not have been sent yet. Where it is measured,
/// the answers are paced: their service time holds the wait for the link. The limit matters for instances whose slots can produce more
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
    /// Takes the time that the link needs for what was handed to the system, which replaces the model.
    void setBacklog(std::chrono::nanoseconds, MonotonicTime now);
    /// \param time from a download's dispatch to the header of its answer, during which it does not use the link.
    void onHeader(std::chrono::nanoseconds time);
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
    /// Moving average; 0 before the first answer.
    double m_meanHeaderSeconds = 0;
    bool m_isMeasured = false;
    /// Time at which the link will have sent the answers of finished downloads.
    MonotonicTime m_busyUntil {};
};

}
