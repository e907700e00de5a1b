#pragma once

#include "carobpath/routing/IntentPartition.h"
#include "carobpath/routing/LedgerCommand.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace carobpath::routing {

/// Decides the claims on one partition's keys. Claims are appended in group commits; after each append the stream is
/// read up to the appended record, and the fold of what was read decides. Nothing is ever granted
/// from memory alone, so any number of owners at a time grant a key to one request.
class PartitionOwner {
public:
    /// Shortest time between two appends to a partition.
    static constexpr std::chrono::milliseconds s_commitInterval { 250 };
    /// Longest time that the record of a call that ran waits for a claim to be appended with.
    static constexpr std::chrono::milliseconds s_ranInterval { 10000 };
    /// Time after which an answer of the log is taken as lost.
    static constexpr std::chrono::milliseconds s_logTimeout { 2000 };
    static constexpr std::chrono::milliseconds s_shortestBackoff { 100 };
    static constexpr std::chrono::milliseconds s_longestBackoff { 2000 };
    /// Longest time that a claim waits.
    static constexpr std::chrono::milliseconds s_longestClaim { 5000 };
    /// Time for which a partition with too many keys refuses claims before it is read again.
    static constexpr std::chrono::milliseconds s_overfullPause { 10000 };
    /// Failures of the log in a row after which the claims that wait are answered.
    static constexpr std::uint32_t s_giveUpAfter = 2;
    static constexpr std::size_t s_maxClaims = 2048;
    static constexpr std::size_t s_maxQueued = 2 * s_maxClaims;
    /// Intents of one record.
    static constexpr std::size_t s_maxBatch = 2048;

    /// \param writer unique over all lives of all nodes; batch ids start with it.
    PartitionOwner(Partition, std::string writer);

    void onClaim(const IntentClaim&, LedgerCommands&, MonotonicTime now);
    void onCallEnded(const IntentEnd&, LedgerCommands&, MonotonicTime now);
    void onAppended(const std::string& batch, publication::Offset, LedgerCommands&, MonotonicTime now);
    void onAppendFailed(const std::string& batch, LedgerCommands&, MonotonicTime now);
    void onRead(const IntentPage&, LedgerCommands&, MonotonicTime now);
    void onReadFailed(LedgerCommands&, MonotonicTime now);
    void onTick(LedgerCommands&, MonotonicTime now);

    MonotonicTime nextTick() const;
    /// \returns whether nothing is under way, so that the object may be dropped and its stream read again later.
    bool idleSince(MonotonicTime) const;
    std::size_t keys() const { return m_fold.keys(); }

private:
    enum class Phase : std::uint8_t {
        Idle,
        /// An append is under way.
        Appending,
        /// The stream is read up to the appended record, or to its end where the append's answer was lost.
        Reading,
        /// The log failed; the phase before is taken up again later.
        Waiting,
    };

    std::optional<ClaimResult> verdictAtArrival(const IntentClaim&, MonotonicTime now) const;
    ClaimResult verdictOf(KeyStatus) const;
    bool ranHere(const IntentKey&) const;
    void queue(Intent, MonotonicTime now);
    MonotonicTime nextBatchAt() const;
    void advance(LedgerCommands&, MonotonicTime now);
    void startBatch(LedgerCommands&, MonotonicTime now);
    void append(LedgerCommands&, MonotonicTime now);
    void read(LedgerCommands&, MonotonicTime now);
    void fail(LedgerCommands&, MonotonicTime now);
    void giveUp(LedgerCommands&, MonotonicTime before, MonotonicTime now);
    void settle(LedgerCommands&);
    void resetOverfull(MonotonicTime now);
    bool batchIsSettled() const;

    struct PendingClaim {
        IntentKey key;
        MonotonicTime deadline;
    };

    Partition m_partition;
    std::string m_writer;
    IntentPartition m_fold;
    std::vector<Intent> m_queue;
    std::unordered_map<RequestId, PendingClaim> m_claims;
    Phase m_phase = Phase::Idle;
    std::optional<IntentBatch> m_batch;
    /// Where the log said that the batch is; nothing while its answer is out or lost.
    std::optional<publication::Offset> m_batchOffset;
    std::uint64_t m_batches = 0;
    MonotonicTime m_phaseEnds {};
    MonotonicTime m_nextBatchAt {};
    /// When the queue is due for an append.
    MonotonicTime m_flushAt {};
    MonotonicTime m_pausedUntil {};
    MonotonicTime m_usedAt {};
    std::uint32_t m_failures = 0;
};

}
