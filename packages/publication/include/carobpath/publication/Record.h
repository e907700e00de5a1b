#pragma once

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

/// The records of the stream \c configuration.
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

/// Changes that a member publishes together; they take effect as a whole or not at all.
struct PublishRecord {
    RecordId id;
    MemberName member;
    /// First offset that the author had not folded when the record was made: the author saw all records before it.
    Offset base = 0;
    std::vector<Change> changes;
    /// By a key of the member.
    Signature signature;

    friend bool operator==(const PublishRecord&, const PublishRecord&) = default;
};

/// The end of a move, found by a node. The first in log order wins.
struct VerdictRecord {
    RecordId id;
    NodeName writer;
    MoveName move;
    /// Tells the move from an earlier one of the same name.
    Offset movePublishedAt = 0;
    MoveVerdict verdict;
    /// By the key of the fleet.
    Signature signature;

    friend bool operator==(const VerdictRecord&, const VerdictRecord&) = default;
};

/// The whole state of a fold, so that a reader needs none of the records before \c state.next.
struct CheckpointRecord {
    RecordId id;
    NodeName writer;
    /// Clock of the writer; tells a node that has just started how old the checkpoint is.
    WallTime writtenAt;
    ReplicatedState state;
    /// By the key of the fleet.
    Signature signature;

    friend bool operator==(const CheckpointRecord&, const CheckpointRecord&) = default;
};

using Record = std::variant<PublishRecord, VerdictRecord, CheckpointRecord>;

/// \returns the text that is appended to the log.
std::string encodeRecord(const Record&);

/// \returns CodecError for anything that \c encodeRecord does not make, and for a record past its bound.
Result<Record> decodeRecord(std::string_view text);

/// \returns the record with its signature set: by the member's key for a PublishRecord, else by the fleet's.
PublishRecord sign(PublishRecord, const KeyPair&);
VerdictRecord sign(VerdictRecord, const KeyPair&);
CheckpointRecord sign(CheckpointRecord, const KeyPair&);

/// \returns whether the record was signed by its member, or by the fleet where a node wrote it.
bool verify(const Record&, const TrustedKeys&);

}
