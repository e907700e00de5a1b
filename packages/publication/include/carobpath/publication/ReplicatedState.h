#pragma once

#include "carobpath/publication/ConfigurationSet.h"
#include "carobpath/publication/ObjectRef.h"
#include "carobpath/publication/RecordId.h"

#include <deque>
#include <optional>

namespace carobpath::publication {

/// A recently applied publish record.
struct RememberedRecord {
    MemberName member;
    RecordId id;
    /// Offset of the first append of the record.
    Offset at = 0;
    bool accepted = false;

    friend bool operator==(const RememberedRecord&, const RememberedRecord&) = default;
};

/// A recently deleted object.
struct RememberedDeletion {
    ObjectRef object;
    Offset at = 0;

    friend bool operator==(const RememberedDeletion&, const RememberedDeletion&) = default;
};

/// The complete state that determines the outcome of later records.
struct ReplicatedState {
    /// Empty before the first accepted record.
    std::optional<ConfigurationStamp> stamp;
    ConfigurationSet set;
    /// The first offset that has not been applied.
    Offset next = 0;
    /// Oldest first; at most \c bounds::rememberedRecords.
    std::deque<RememberedRecord> records;
    /// Oldest first; at most \c bounds::rememberedDeletions.
    std::deque<RememberedDeletion> deletions;
    /// Records and deletions before this offset may have been forgotten. A publish record with an older base is rejected,
    /// since it might be a repeated append.
    Offset forgottenBefore = 0;

    friend bool operator==(const ReplicatedState&, const ReplicatedState&) = default;
};

}
