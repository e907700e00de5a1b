#pragma once

#include "carobpath/publication/ConfigurationStateMachine.h"
#include "carobpath/publication/LogService.h"

#include <optional>
#include <utility>
#include <vector>

namespace carobpath::publication {

/// An applied record and its outcome.
struct AppliedRecord {
    Offset offset = 0;
    ApplyOutcome outcome;
};

/// Progress of a log follower.
enum class FollowerState : std::uint8_t {
    /// The log has trimmed records that are needed, so the follower searches for a checkpoint.
    SeekingCheckpoint,
    Replaying,
    /// The full log was read. It contains neither a usable checkpoint nor all records from the first one.
    NoCheckpoint,
};

/// Decides how a log reader obtains the active set and keeps it up to date: it replays the log from the first record if the
/// log still has it, otherwise from a checkpoint. It does no I/O: the caller reads from \c nextRead and passes on the result.
class ConfigurationLogFollower {
public:
    explicit ConfigurationLogFollower(TrustedKeys);

    /// \returns the offset of the next record to read.
    Offset nextRead() const { return m_nextRead; }

    /// Processes the answer to a read from \c nextRead.
    /// \returns the applied records with their outcomes.
    std::vector<AppliedRecord> onBatch(const LogBatch&);

    /// Must be called when the log no longer keeps the record at \c nextRead.
    void onTrimmed(const Trimmed&);

    FollowerState state() const { return m_state; }

    /// \returns whether every record that the log had at the last read has been applied.
    bool caughtUp() const { return m_caughtUp; }

    /// \returns the active set according to the records applied so far, or nullptr.
    ConfigurationPointer current() const;

    /// \returns the remembered result of a member's recently applied record, or nullptr.
    const RememberedRecord* find(const MemberName&, const RecordId&) const;

    /// \returns the base for a new record: the first offset that has not been applied.
    Offset base() const { return m_stateMachine ? m_stateMachine->next() : 0; }

    /// \returns the checkpoint that the state machine was loaded from, once after each load.
    std::optional<CheckpointMatched> takeStartCheckpoint() { return std::exchange(m_start, std::nullopt); }

    /// \returns the state that a checkpoint contains; empty while no record can be applied.
    std::optional<ReplicatedState> replicatedState() const;

private:
    void seekCheckpoint(const LogRecord&, Offset firstKept);

    TrustedKeys m_keys;
    std::optional<ConfigurationStateMachine> m_stateMachine;
    FollowerState m_state = FollowerState::Replaying;
    std::optional<CheckpointMatched> m_start;
    Offset m_nextRead = 0;
    bool m_caughtUp = false;
};

}
