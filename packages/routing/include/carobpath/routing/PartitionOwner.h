#pragma once

#include "carobpath/routing/IntentPartition.h"
#include "carobpath/routing/LedgerCommand.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace carobpath::routing {

/// Decides the claims on one partition's keys. Claims are appended in group commits. After each append the stream is
/// read up to the appended record, and the state after applying these records decides the claims. No claim is granted
/// from memory alone, so any number of concurrent owners grant a key to only one request.
class PartitionOwner {
public:
    /// Minimum time between two appends to a partition.
    static constexpr std::chrono::milliseconds s_commitInterval { 250 };
    /// Maximum time that the intent of a call that ran waits to be appended together with a claim.
    static constexpr std::chrono::milliseconds s_ranInterval { 10000 };
    /// Time after which an answer of the log is considered lost.
    static constexpr std::chrono::milliseconds s_logTimeout { 2000 };
    static constexpr std::chrono::milliseconds s_minBackoff { 100 };
    static constexpr std::chrono::milliseconds s_maxBackoff { 2000 };
    /// Maximum time that a claim waits for its answer.
    static constexpr std::chrono::milliseconds s_maxClaimTime { 5000 };
    /// Time for which a partition with too many keys refuses claims before it is read again.
    static constexpr std::chrono::milliseconds s_overCapacityPause { 10000 };
    /// Number of consecutive log failures after which all waiting claims are answered with \c Unavailable.
    static constexpr std::uint32_t s_maxLogFailures = 2;
    static constexpr std::size_t s_maxClaims = 2048;
    static constexpr std::size_t s_maxQueued = 2 * s_maxClaims;
    /// Maximum number of intents in one record.
    static constexpr std::size_t s_maxBatch = 2048;

    /// \param writer unique over all incarnations of all nodes; batch ids start with it.
    PartitionOwner(Partition, std::string writer);

    void onClaim(const IntentClaim&, LedgerCommands&, MonotonicTime now);
    void onCallEnded(const IntentEnd&, LedgerCommands&, MonotonicTime now);
    void onAppended(const std::string& batch, publication::Offset, LedgerCommands&, MonotonicTime now);
    void onAppendFailed(const std::string& batch, LedgerCommands&, MonotonicTime now);
    void onRead(const IntentPage&, LedgerCommands&, MonotonicTime now);
    void onReadFailed(LedgerCommands&, MonotonicTime now);
    void onTick(LedgerCommands&, MonotonicTime now);

    MonotonicTime nextTick() const;
    /// \returns whether the partition has been idle since the given time, so that the object may be dropped and its stream
    /// read again later.
    bool idleSince(MonotonicTime) const;
    std::size_t keys() const { return m_state.keys(); }

private:
    enum class Phase : std::uint8_t {
        Idle,
        /// An append is in progress.
        Appending,
        /// The stream is read up to the appended record, or to its end if the answer to the append was lost.
        Reading,
        /// The log failed; the stream is read again after a backoff.
        Waiting,
    };

    std::optional<ClaimResult> resultAtArrival(const IntentClaim&, MonotonicTime now) const;
    ClaimResult resultOf(KeyStatus) const;
    bool hasQueuedRan(const IntentKey&) const;
    void queue(Intent, MonotonicTime now);
    MonotonicTime nextBatchAt() const;
    void advance(LedgerCommands&, MonotonicTime now);
    void startBatch(LedgerCommands&, MonotonicTime now);
    void append(LedgerCommands&, MonotonicTime now);
    void read(LedgerCommands&, MonotonicTime now);
    void fail(LedgerCommands&, MonotonicTime now);
    void abandonClaims(LedgerCommands&, MonotonicTime before, MonotonicTime now);
    void answerBatch(LedgerCommands&);
    void resetIfOverCapacity(MonotonicTime now);
    bool isBatchDecided() const;

    struct PendingClaim {
        IntentKey key;
        MonotonicTime deadline;
    };

    Partition m_partition;
    std::string m_writer;
    IntentPartition m_state;
    std::vector<Intent> m_queue;
    std::unordered_map<RequestId, PendingClaim> m_claims;
    Phase m_phase = Phase::Idle;
    std::optional<IntentBatch> m_batch;
    /// Offset that the log reported for the batch; empty while its answer is outstanding or lost.
    std::optional<publication::Offset> m_batchOffset;
    std::uint64_t m_batches = 0;
    MonotonicTime m_phaseDeadline {};
    MonotonicTime m_nextBatchAt {};
    /// When the queue is due for an append.
    MonotonicTime m_flushAt {};
    MonotonicTime m_pausedUntil {};
    MonotonicTime m_lastUsedAt {};
    std::uint32_t m_failures = 0;
};

}
