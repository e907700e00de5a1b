#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/publication/ApplyOutcome.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace carobpath::publication {

/// Determines when a checkpoint is due.
struct CheckpointPolicy {
    /// Maximum number of records after the newest checkpoint.
    std::uint64_t records = 256;
    /// Maximum age of the newest checkpoint; must be well below the retention time of the log.
    std::chrono::milliseconds age { std::chrono::hours { 1 } };
    /// Additional delay for each further node in rank order, which writes in place of a preceding node that has left or is paused.
    std::chrono::milliseconds takeoverDelay { std::chrono::seconds { 20 } };
    /// Minimum time between two checkpoints that the same node writes.
    std::chrono::milliseconds retry { std::chrono::seconds { 60 } };
};

/// Command: append a checkpoint of the current state.
struct WriteCheckpoint {
    friend bool operator==(const WriteCheckpoint&, const WriteCheckpoint&) = default;
};

/// Decides when this node appends a checkpoint. Rendezvous hashing over the live nodes selects the node that is due. No lease
/// is needed: two checkpoints of the same state are harmless, and every state machine ignores a wrong one.
class CheckpointSchedule {
public:
    CheckpointSchedule(NodeName self, CheckpointPolicy);

    /// Must be called when the state machine was loaded from a checkpoint.
    void onCheckpointLoaded(Offset checkpointNext, WallTime writtenAt);

    /// Must be called for each applied record.
    void onRecord(Offset, const ApplyOutcome&);

    /// Must be called about once a second, and only while all records of the log have been applied.
    /// \param live names of all live nodes, including this one.
    /// \returns a command when this node is due to write a checkpoint.
    std::optional<WriteCheckpoint> poll(const std::vector<NodeName>& live, Now);

    /// Number of wrong checkpoints that the state machine reported.
    std::uint64_t mismatches() const { return m_mismatches; }

private:
    struct Newest {
        Offset next = 0;
        WallTime writtenAt;
    };

    void noteCheckpoint(Offset next, WallTime writtenAt);
    bool isNeeded(WallTime) const;
    std::size_t rankOf(const std::vector<NodeName>& live) const;

    NodeName m_self;
    CheckpointPolicy m_policy;
    std::optional<Newest> m_newest;
    /// Offset after the last applied record that is not a checkpoint.
    Offset m_next = 0;
    std::optional<MonotonicTime> m_neededSince;
    std::optional<MonotonicTime> m_lastWrite;
    std::uint64_t m_mismatches = 0;
};

}
