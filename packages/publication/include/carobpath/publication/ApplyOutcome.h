#pragma once

#include "carobpath/publication/Codec.h"
#include "carobpath/publication/Fault.h"
#include "carobpath/publication/RecordId.h"

#include <variant>

namespace carobpath::publication {

/// The record took effect; the stamp names the version of the set that it made.
struct Accepted {
    MemberName member;
    RecordId id;
    ConfigurationStamp stamp;

    friend bool operator==(const Accepted&, const Accepted&) = default;
};

/// The record changed nothing.
struct Rejected {
    MemberName member;
    RecordId id;
    Faults faults;

    friend bool operator==(const Rejected&, const Rejected&) = default;
};

/// A record of the same member and id was folded before; this one changed nothing.
struct Duplicate {
    MemberName member;
    RecordId id;
    Offset firstAt = 0;
    /// Whether the first one was accepted.
    bool accepted = false;

    friend bool operator==(const Duplicate&, const Duplicate&) = default;
};

/// The move ended.
struct VerdictAccepted {
    MoveName move;
    MoveVerdict verdict;
    ConfigurationStamp stamp;

    friend bool operator==(const VerdictAccepted&, const VerdictAccepted&) = default;
};

enum class VerdictIgnoredReason : std::uint8_t {
    UnknownMove,
    /// The move has a verdict already; the first in log order wins.
    AlreadyEnded,
    /// The verdict is of an earlier move of the same name.
    OtherMove,
};

/// The verdict changed nothing.
struct VerdictIgnored {
    MoveName move;
    VerdictIgnoredReason reason = VerdictIgnoredReason::UnknownMove;

    friend bool operator==(const VerdictIgnored&, const VerdictIgnored&) = default;
};

/// The checkpoint agrees with this fold.
struct CheckpointMatched {
    Offset next = 0;
    WallTime writtenAt;

    friend bool operator==(const CheckpointMatched&, const CheckpointMatched&) = default;
};

/// The checkpoint does not agree with this fold, which goes on with its own state.
struct CheckpointMismatch {
    NodeName writer;
    Offset next = 0;

    friend bool operator==(const CheckpointMismatch&, const CheckpointMismatch&) = default;
};

/// The checkpoint is of a state that this fold remembers no more, so it was not compared.
struct CheckpointIgnored {
    Offset next = 0;

    friend bool operator==(const CheckpointIgnored&, const CheckpointIgnored&) = default;
};

/// The record was not written by the one whom it names; it changed nothing.
struct BadSignature {
    friend bool operator==(const BadSignature&, const BadSignature&) = default;
};

/// The bytes are no record; they changed nothing.
struct Malformed {
    CodecFault fault = CodecFault::NotJson;

    friend bool operator==(const Malformed&, const Malformed&) = default;
};

/// The offset is not the next one; nothing was folded, not even the offset.
struct OutOfOrder {
    Offset expected = 0;

    friend bool operator==(const OutOfOrder&, const OutOfOrder&) = default;
};

/// What became of one record.
using ApplyOutcome = std::variant<Accepted, Rejected, Duplicate, VerdictAccepted, VerdictIgnored, CheckpointMatched, CheckpointMismatch,
    CheckpointIgnored, BadSignature, Malformed, OutOfOrder>;

/// \returns the stable text of logs and JSON, such as "accepted" or "bad-signature".
std::string_view toString(const ApplyOutcome&);
std::string_view toString(VerdictIgnoredReason);

}
