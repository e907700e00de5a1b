#pragma once

#include "carobpath/foundation/Incarnation.h"
#include "carobpath/routing/PartitionOwner.h"

#include <map>
#include <optional>

namespace carobpath::routing {

/// Decides the claims on idempotency keys at one node, with one \c PartitionOwner for each partition that is asked for.
/// It does not check that the node owns the partition, since any number of concurrent owners are safe.
class IdempotencyLedger {
public:
    /// Time after which an unused partition is dropped; its stream is read again when it is needed.
    static constexpr std::chrono::seconds s_idleTime { 300 };

    IdempotencyLedger(const NodeName&, Incarnation);

    LedgerCommands onClaim(const IntentClaim&, MonotonicTime now);
    LedgerCommands onCallEnded(const IntentEnd&, MonotonicTime now);
    /// The log stored the batch at the offset.
    LedgerCommands onAppended(Partition, const std::string& batch, publication::Offset, MonotonicTime now);
    /// The log refused the append or did not answer: the batch may or may not be stored.
    LedgerCommands onAppendFailed(Partition, const std::string& batch, MonotonicTime now);
    /// Answer to a read. If the offset \c from of the read was trimmed, the page has no records and its \c first is the
    /// oldest offset that is kept; reading continues there.
    LedgerCommands onRead(Partition, const IntentPage&, MonotonicTime now);
    LedgerCommands onReadFailed(Partition, MonotonicTime now);
    /// To be called at \c nextTick or later.
    LedgerCommands onTick(MonotonicTime now);

    /// \returns the time of the next due action; empty if no action is due.
    std::optional<MonotonicTime> nextTick() const;
    /// \returns the number of keys in memory.
    std::size_t keys() const;

private:
    PartitionOwner& ownerOf(Partition);
    PartitionOwner* find(Partition);

    std::string m_writer;
    std::map<Partition, PartitionOwner> m_owners;
};

}
