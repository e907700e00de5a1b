#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/publication/ApplyOutcome.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace carobpath::publication {

/// When a checkpoint is due.
struct CheckpointPolicy {
    /// Records after the newest checkpoint.
    std::uint64_t records = 256;
    /// Age of the newest checkpoint; well below the retention of the log.
    std::chrono::milliseconds age { std::chrono::hours { 1 } };
    /// Each further node in rank order waits this much longer, in case the one before it is gone or paused.
    std::chrono::milliseconds takeoverDelay { std::chrono::seconds { 20 } };
    /// No node writes two checkpoints within this time.
    std::chrono::milliseconds retry { std::chrono::seconds { 60 } };
};

/// Append a checkpoint of the present state of the fold.
struct WriteCheckpoint {
    friend bool operator==(const WriteCheckpoint&, const WriteCheckpoint&) = default;
};

/// Decides when this node appends a checkpoint. The node that is due is found by rendezvous rank over the live nodes, with
/// no lease: two checkpoints of one state are harmless, and a wrong one is ignored by every fold.
class CheckpointSchedule {
public:
    CheckpointSchedule(NodeName self, CheckpointPolicy);

    /// To be called where the fold was started from a checkpoint.
    void onCheckpointLoaded(Offset checkpointNext, WallTime writtenAt);

    /// To be called for each folded record.
    void onRecord(Offset, const ApplyOutcome&);

    /// \param live names of all live nodes, this one included.
    /// \returns a command once this node is due; to be asked again about once a second, and only while the fold holds all
    /// records of the log.
    std::optional<WriteCheckpoint> poll(const std::vector<NodeName>& live, Now);

    /// Wrong checkpoints that the fold reported.
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
    /// Offset after the last folded record that is no checkpoint.
    Offset m_next = 0;
    std::optional<MonotonicTime> m_neededSince;
    std::optional<MonotonicTime> m_lastWrite;
    std::uint64_t m_mismatches = 0;
};

}
