#pragma once

#include "carobpath/foundation/Incarnation.h"
#include "carobpath/routing/PartitionOwner.h"

#include <map>
#include <optional>

namespace carobpath::routing {

/// What a node decides as an owner of idempotency keys: one \c PartitionOwner for each partition that calls ask it for.
/// It does not check that it is the owner, since any number of owners at a time are safe.
class IdempotencyLedger {
public:
    /// Time after which an unused partition is dropped; its stream is read again when it is needed.
    static constexpr std::chrono::seconds s_idleTime { 300 };

    IdempotencyLedger(const NodeName&, Incarnation);

    LedgerCommands onClaim(const IntentClaim&, MonotonicTime now);
    LedgerCommands onCallEnded(const IntentEnd&, MonotonicTime now);
    /// The log took the batch at the offset.
    LedgerCommands onAppended(Partition, const std::string& batch, publication::Offset, MonotonicTime now);
    /// The log refused or did not answer: the batch may be there or not.
    LedgerCommands onAppendFailed(Partition, const std::string& batch, MonotonicTime now);
    /// An answer to a read. One whose \c from was trimmed comes as a page without records whose \c first says so; it is
    /// read on from there.
    LedgerCommands onRead(Partition, const IntentPage&, MonotonicTime now);
    LedgerCommands onReadFailed(Partition, MonotonicTime now);
    /// To be called at \c nextTick or later.
    LedgerCommands onTick(MonotonicTime now);

    /// \returns when something is due, if anything is under way.
    std::optional<MonotonicTime> nextTick() const;
    /// \returns the keys that are held in memory.
    std::size_t keys() const;

private:
    PartitionOwner& ownerOf(Partition);
    PartitionOwner* find(Partition);

    std::string m_writer;
    std::map<Partition, PartitionOwner> m_owners;
};

}
