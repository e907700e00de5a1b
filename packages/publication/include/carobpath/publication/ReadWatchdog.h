#pragma once

#include "carobpath/foundation/Backoff.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/publication/LogService.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

namespace carobpath::publication {

/// What is due for a read of a stream.
enum class ReadStep : std::uint8_t {
    Wait,
    /// Ask the store for the end of the stream.
    CheckEnd,
    /// Abandon the pending long poll, or the pause after a failed read, and list the stream.
    ReadAgain,
};

enum class ReadKind : std::uint8_t {
    /// Is answered when there is a record, and may wait for it.
    LongPoll,
    /// Is answered at once, but its answer may be large: a listing, or a read of records that exist.
    Immediate,
};

/// \returns the stable text for logs, such as "long-poll".
std::string_view toString(ReadKind);

/// When a node checks a stream. Nodes that share the checks get the same interval and different delays, so that they take
/// turns: the last record reached all of them at about the same time.
struct CheckSchedule {
    /// Time between two checks by this node.
    std::chrono::milliseconds interval {};
    /// Time from the last record to the first check.
    std::chrono::milliseconds delay {};

    friend bool operator==(const CheckSchedule&, const CheckSchedule&) = default;
};

/// Detects long polls that will never be answered. A store that was unresponsive for a moment may have dropped the calls
/// that it received meanwhile without closing their connections, so a pending read does not prove that nothing was written.
/// The proof is the end of the stream, which some nodes of a fleet ask the store for and all tell each other.
/// The class does no I/O: the caller reports events and performs what \c next returns.
class ReadWatchdog {
public:
    /// Time in which a pending read must deliver a record that exists, where the store is not busy with other nodes' reads.
    static constexpr std::chrono::milliseconds s_deliveryTimeout { 200 };
    /// Upper bound of this time. A node whose read was lost must still repeat it in time for the record to take effect.
    static constexpr std::chrono::milliseconds s_maxDeliveryTimeout { 1'000 };
    /// Size of an answer to allow for. It is not taken from the last answer, since the next record may be several times as large.
    static constexpr std::size_t s_largeAnswerBytes = 256UL * 1024;
    static constexpr std::chrono::milliseconds s_checkRetryBase { 200 };
    static constexpr std::chrono::milliseconds s_checkRetryCap { 1'000 };

    explicit ReadWatchdog(std::mt19937_64 random)
        : m_random(random)
    {
    }

    /// \returns the time in which a read must deliver while the store answers the same read of each node.
    /// \param bytesPerSecond what the store sends to all nodes together; 0 if that is not known.
    static std::chrono::milliseconds deliveryTimeoutFor(std::size_t nodes, double bytesPerSecond);

    /// Sets the time in which a pending read must deliver a record that exists.
    void setDeliveryTimeout(std::chrono::milliseconds timeout) { m_deliveryTimeout = timeout; }

    /// Sets when this node checks the stream; nothing if other nodes check it.
    void setCheckSchedule(const std::optional<CheckSchedule>&, MonotonicTime now);

    void onReadSent(ReadKind, StreamPosition from, MonotonicTime now);
    /// Reports that the answer to the pending read begins to arrive: however long it takes, the read was not dropped.
    void onAnswerBegun();
    void onReadAnswered();
    /// \param timedOut whether the store did not answer in time; the read is then repeated without a further pause while
    /// records are due.
    void onReadFailed(bool timedOut);
    /// Reports that a read delivered new records.
    void onRecordsRead(MonotonicTime now);

    /// Reports that the pending read need not deliver the records before this position.
    void onSkippedTo(StreamPosition, MonotonicTime now);

    /// Reports that the stream is known to have reached this end. An end of a later era is further than any before it.
    void onEndKnown(StreamPosition, MonotonicTime now);
    void onCheckAnswered(StreamPosition end, MonotonicTime now);
    /// \param answered whether the store refused the check; it is then not unresponsive.
    void onCheckFailed(bool answered, MonotonicTime now);

    /// \returns what is due. A step that is not \c ReadStep::Wait counts as begun.
    ReadStep next(MonotonicTime now);

    /// \returns the furthest known end of the stream.
    StreamPosition knownEnd() const { return m_knownEnd; }

private:
    struct Read {
        ReadKind kind = ReadKind::LongPoll;
        StreamPosition from;
        MonotonicTime sentAt;
        bool hasFailed = false;
    };

    /// \returns whether the read is to be repeated. A pending immediate read is not: it has a short timeout of its own, and
    /// a slow instance that began it again for each record would never get an answer.
    bool isOverdue(MonotonicTime now) const;
    bool isCheckDue(MonotonicTime now) const;

    std::mt19937_64 m_random;
    std::chrono::milliseconds m_deliveryTimeout = s_deliveryTimeout;
    /// Empty while the last read is answered and the next one is not sent.
    std::optional<Read> m_read;
    /// The pending read was sent before the store was found unresponsive.
    bool m_isReadSuspect = false;
    StreamPosition m_knownEnd;
    /// When an end beyond the pending read became known, or that read's records were last skipped in part.
    MonotonicTime m_behindSince;
    /// The known end for which a read was repeated. It is not repeated for the same end again, but where the repeated read
    /// timed out: the store may have lost records, and a node that it refuses would call it on each tick.
    StreamPosition m_repeatedFor;

    std::optional<CheckSchedule> m_checkSchedule;
    MonotonicTime m_checkAt;
    bool m_isChecking = false;
    std::optional<MonotonicTime> m_checkFailedAt;
    Backoff m_checkBackoff { s_checkRetryBase, s_checkRetryCap };
};

}
