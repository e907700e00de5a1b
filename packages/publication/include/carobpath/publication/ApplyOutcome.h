#pragma once

#include "carobpath/publication/Codec.h"
#include "carobpath/publication/Fault.h"
#include "carobpath/publication/RecordId.h"

#include <variant>

namespace carobpath::publication {

/// The record took effect; the stamp identifies the resulting version of the set.
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

/// A record with the same member and id was applied before; this one changed nothing.
struct Duplicate {
    MemberName member;
    RecordId id;
    Offset firstAt = 0;
    /// Whether the first record was accepted.
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
    /// The move already has a verdict; only the first one in log order takes effect.
    AlreadyEnded,
    /// The verdict belongs to an earlier move of the same name.
    OtherMove,
};

/// The verdict changed nothing.
struct VerdictIgnored {
    MoveName move;
    VerdictIgnoredReason reason = VerdictIgnoredReason::UnknownMove;

    friend bool operator==(const VerdictIgnored&, const VerdictIgnored&) = default;
};

/// The checkpoint agrees with the state machine.
struct CheckpointMatched {
    Offset next = 0;
    WallTime writtenAt;

    friend bool operator==(const CheckpointMatched&, const CheckpointMatched&) = default;
};

/// The checkpoint does not agree with the state machine, which continues with its own state.
struct CheckpointMismatch {
    NodeName writer;
    Offset next = 0;

    friend bool operator==(const CheckpointMismatch&, const CheckpointMismatch&) = default;
};

/// The checkpoint was not compared, because the state machine no longer remembers the stamp of that state.
struct CheckpointIgnored {
    Offset next = 0;

    friend bool operator==(const CheckpointIgnored&, const CheckpointIgnored&) = default;
};

/// The record's signature is not valid for its writer; the record changed nothing.
struct BadSignature {
    friend bool operator==(const BadSignature&, const BadSignature&) = default;
};

/// The bytes can't be decoded as a record; they changed nothing.
struct Malformed {
    CodecFault fault = CodecFault::NotJson;

    friend bool operator==(const Malformed&, const Malformed&) = default;
};

/// The offset is not the expected one; nothing was applied, and the expected offset remains the same.
struct OutOfOrder {
    Offset expected = 0;

    friend bool operator==(const OutOfOrder&, const OutOfOrder&) = default;
};

/// The outcome of applying one record.
using ApplyOutcome = std::variant<Accepted, Rejected, Duplicate, VerdictAccepted, VerdictIgnored, CheckpointMatched, CheckpointMismatch,
    CheckpointIgnored, BadSignature, Malformed, OutOfOrder>;

/// \returns the stable text for logs and JSON, such as "accepted" or "bad-signature".
std::string_view toString(const ApplyOutcome&);
std::string_view toString(VerdictIgnoredReason);

}
