#pragma once

#include "carobpath/publication/ApplyOutcome.h"
#include "carobpath/publication/Keys.h"
#include "carobpath/publication/Record.h"
#include "carobpath/publication/ReplicatedState.h"

#include <deque>
#include <string_view>

namespace carobpath::publication {

/// The error of a checkpoint that a fold can't start from.
struct BadCheckpoint {
    enum class Reason : std::uint8_t {
        BadSignature,
        /// The digest in the stamp is not that of the set.
        WrongDigest,
        /// The set does not pass the whole-set check.
        BadSet,
    };
    Reason reason = Reason::BadSignature;
};

/// Folds the records of the stream \c configuration, in log order, into the set in force. The same records give the same
/// state and outcomes in every process; no clock, lease or lock is involved.
class ConfigurationStateMachine {
public:
    /// Starts before the first record of the log.
    explicit ConfigurationStateMachine(TrustedKeys);

    /// Starts from the state in the checkpoint. \returns BadCheckpoint where it can't be trusted.
    static Result<ConfigurationStateMachine> fromCheckpoint(const CheckpointRecord&, TrustedKeys);

    /// Folds in the next record.
    ApplyOutcome apply(Offset, std::string_view bytes);

    /// \returns the set in force, or nullptr before the first accepted record.
    ConfigurationPointer current() const { return m_current; }

    /// \returns the offset of the next record to apply.
    Offset next() const { return m_next; }

    /// \returns what became of a member's record that was folded not long ago, or nullptr.
    const RememberedRecord* find(const MemberName&, const RecordId&) const;

    /// \returns everything that a checkpoint has to hold.
    ReplicatedState state() const;

private:
    ApplyOutcome applyRecord(Offset, const PublishRecord&);
    ApplyOutcome applyRecord(Offset, const VerdictRecord&);
    ApplyOutcome applyRecord(Offset, const CheckpointRecord&);

    void remember(const PublishRecord&, Offset, bool accepted);
    void rememberDeletions(const PublishRecord&, Offset);
    ConfigurationStamp install(Offset, ConfigurationSet, Digest);
    bool knowsStampBefore(Offset) const;
    std::optional<ConfigurationStamp> stampBefore(Offset) const;
    bool agreesWith(const ReplicatedState&) const;

    TrustedKeys m_keys;
    ConfigurationPointer m_current;
    Offset m_next = 0;
    std::deque<RememberedRecord> m_records;
    std::deque<RememberedDeletion> m_deletions;
    Offset m_forgottenBefore = 0;
    /// Stamps in force lately, oldest first. They are compared with checkpoints and are no part of the state.
    std::deque<ConfigurationStamp> m_stamps;
    Offset m_stampsKnownFrom = 0;
};

}
