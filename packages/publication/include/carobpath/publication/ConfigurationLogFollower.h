#pragma once

#include "carobpath/publication/ConfigurationStateMachine.h"
#include "carobpath/publication/LogService.h"

#include <optional>
#include <utility>
#include <vector>

namespace carobpath::publication {

/// One record that was folded, for the time line.
struct AppliedRecord {
    Offset offset = 0;
    ApplyOutcome outcome;
};

/// How far a follower is.
enum class FollowerState : std::uint8_t {
    /// The records before the oldest one kept are gone; a checkpoint is being looked for.
    SeekingCheckpoint,
    Replaying,
    /// The whole log was read and holds no checkpoint to start from, nor all records from the first.
    NoCheckpoint,
};

/// Decides how a reader of the log gets to the set in force and stays there: from the first record where the log still
/// has it, else from a checkpoint and the records after it. Knows no log: reads are asked for by \c nextRead.
class ConfigurationLogFollower {
public:
    explicit ConfigurationLogFollower(TrustedKeys);

    /// \returns the offset of the next record wanted.
    Offset nextRead() const { return m_nextRead; }

    /// Takes the answer to a read from \c nextRead.
    /// \returns what became of each record that was folded.
    std::vector<AppliedRecord> onBatch(const LogBatch&);

    /// The record wanted is no longer kept.
    void onTrimmed(const Trimmed&);

    FollowerState state() const { return m_state; }

    /// \returns true once every record that the log had at the last read is folded.
    bool caughtUp() const { return m_caughtUp; }

    /// \returns the set in force as far as folded, or nullptr.
    ConfigurationPointer current() const;

    /// \returns what became of a member's record that was folded not long ago, or nullptr.
    const RememberedRecord* find(const MemberName&, const RecordId&) const;

    /// \returns the base of a record that is made now: the first offset that is not folded.
    Offset base() const { return m_fold ? m_fold->next() : 0; }

    /// \returns the checkpoint that the fold was started from, once after each start from one.
    std::optional<CheckpointMatched> takeStartCheckpoint() { return std::exchange(m_start, std::nullopt); }

    /// \returns what a checkpoint has to hold; nothing while no record can be folded.
    std::optional<ReplicatedState> replicatedState() const;

private:
    void seek(const LogRecord&, Offset firstKept);

    TrustedKeys m_keys;
    std::optional<ConfigurationStateMachine> m_fold;
    FollowerState m_state = FollowerState::Replaying;
    std::optional<CheckpointMatched> m_start;
    Offset m_nextRead = 0;
    bool m_caughtUp = false;
};

}
