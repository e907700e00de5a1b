#pragma once

/// \file
/// The records of the stream \c configuration.

#include "carobpath/foundation/Incarnation.h"
#include "carobpath/foundation/Result.h"
#include "carobpath/publication/Codec.h"
#include "carobpath/publication/Keys.h"
#include "carobpath/publication/ObjectRef.h"
#include "carobpath/publication/RecordId.h"
#include "carobpath/publication/ReplicatedState.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace carobpath::publication {

struct PutService {
    Service service;
    friend bool operator==(const PutService&, const PutService&) = default;
};

struct PutRoute {
    Route route;
    friend bool operator==(const PutRoute&, const PutRoute&) = default;
};

struct PutVersion {
    Version version;
    friend bool operator==(const PutVersion&, const PutVersion&) = default;
};

struct PutMove {
    Move move;
    friend bool operator==(const PutMove&, const PutMove&) = default;
};

struct DeleteObject {
    ObjectRef object;
    friend bool operator==(const DeleteObject&, const DeleteObject&) = default;
};

using Change = std::variant<PutService, PutRoute, PutVersion, PutMove, DeleteObject>;

/// \returns the object that the change puts or deletes.
ObjectRef refOf(const Change&);

/// Changes that a member publishes together; either all or none of them take effect.
struct PublishRecord {
    RecordId id;
    MemberName member;
    /// First offset that the author had not applied when the record was created: the author had read all records before it.
    Offset base = 0;
    std::vector<Change> changes;
    /// Signature made with a key of the member.
    Signature signature;

    friend bool operator==(const PublishRecord&, const PublishRecord&) = default;
};

/// The verdict of a node on a move. Only the first one in log order takes effect.
struct VerdictRecord {
    RecordId id;
    NodeName writer;
    MoveName move;
    /// Distinguishes the move from an earlier one of the same name.
    Offset movePublishedAt = 0;
    MoveVerdict verdict;
    /// Signature made with the fleet key.
    Signature signature;

    friend bool operator==(const VerdictRecord&, const VerdictRecord&) = default;
};

/// The full replicated state, so that a log reader does not need the records before \c state.next.
struct CheckpointRecord {
    RecordId id;
    NodeName writer;
    /// Time by the writer's clock; a node that has just started derives the age of the checkpoint from it.
    WallTime writtenAt;
    ReplicatedState state;
    /// Signature made with the fleet key.
    Signature signature;

    friend bool operator==(const CheckpointRecord&, const CheckpointRecord&) = default;
};

using Record = std::variant<PublishRecord, VerdictRecord, CheckpointRecord>;

/// \returns the text that is appended to the log.
std::string encodeRecord(const Record&);

/// \returns CodecError for any text that \c encodeRecord does not produce and for a record that exceeds its size limit.
Result<Record> decodeRecord(std::string_view text);

/// \returns the signed record. The key must be the member's for a PublishRecord, otherwise the fleet key.
PublishRecord sign(PublishRecord, const KeyPair&);
VerdictRecord sign(VerdictRecord, const KeyPair&);
CheckpointRecord sign(CheckpointRecord, const KeyPair&);

/// \returns whether a publish record was signed by its member, or any other record with the fleet key.
bool verify(const Record&, const TrustedKeys&);

}
