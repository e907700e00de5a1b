#pragma once

#include "carobpath/publication/ApplyOutcome.h"
#include "carobpath/publication/Keys.h"
#include "carobpath/publication/Record.h"
#include "carobpath/publication/ReplicatedState.h"

#include <deque>
#include <string_view>

namespace carobpath::publication {

/// Error: the state machine can't be loaded from the checkpoint.
struct BadCheckpoint {
    enum class Reason : std::uint8_t {
        BadSignature,
        /// The digest in the stamp does not match the set.
        WrongDigest,
        /// The set does not pass \c checkSet.
        BadSet,
    };
    Reason reason = Reason::BadSignature;
};

/// The replicated state machine that applies the records of the stream \c configuration in log order and provides the active
/// set. The same records give the same state and outcomes in every process; no clock, lease or lock is involved.
class ConfigurationStateMachine {
public:
    /// Starts with an empty state before the first record of the log.
    explicit ConfigurationStateMachine(TrustedKeys);

    /// Starts from the state in the checkpoint. \returns BadCheckpoint if the checkpoint can't be trusted.
    static Result<ConfigurationStateMachine> fromCheckpoint(const CheckpointRecord&, TrustedKeys);

    /// Applies the next record.
    ApplyOutcome apply(Offset, std::string_view bytes);

    /// \returns the active set, or nullptr before the first accepted record.
    ConfigurationPointer current() const { return m_current; }

    /// \returns the offset of the next record to apply.
    Offset next() const { return m_next; }

    /// \returns the remembered result of a member's recently applied record, or nullptr.
    const RememberedRecord* find(const MemberName&, const RecordId&) const;

    /// \returns the state that a checkpoint contains.
    ReplicatedState state() const;

private:
    ApplyOutcome applyRecord(Offset, const PublishRecord&);
    ApplyOutcome applyRecord(Offset, const VerdictRecord&);
    ApplyOutcome applyRecord(Offset, const CheckpointRecord&);

    void remember(const PublishRecord&, Offset, bool accepted);
    void rememberDeletions(const PublishRecord&, Offset);
    ConfigurationStamp activate(Offset, ConfigurationSet, Digest);
    bool knowsStampBefore(Offset) const;
    std::optional<ConfigurationStamp> stampBefore(Offset) const;
    bool agreesWith(const ReplicatedState&) const;

    TrustedKeys m_keys;
    ConfigurationPointer m_current;
    Offset m_next = 0;
    std::deque<RememberedRecord> m_records;
    std::deque<RememberedDeletion> m_deletions;
    Offset m_forgottenBefore = 0;
    /// Recent stamps of the active set, oldest first. They are compared with checkpoints and are not part of the state.
    std::deque<ConfigurationStamp> m_stamps;
    Offset m_stampsKnownFrom = 0;
};

}
