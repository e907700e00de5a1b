#pragma once

#include "carobpath/publication/ConfigurationSet.h"
#include "carobpath/publication/ObjectRef.h"
#include "carobpath/publication/RecordId.h"

#include <deque>
#include <optional>

namespace carobpath::publication {

/// A publish record that was folded not long ago.
struct RememberedRecord {
    MemberName member;
    RecordId id;
    /// Offset of its first append.
    Offset at = 0;
    bool accepted = false;

    friend bool operator==(const RememberedRecord&, const RememberedRecord&) = default;
};

/// An object that was deleted not long ago.
struct RememberedDeletion {
    ObjectRef object;
    Offset at = 0;

    friend bool operator==(const RememberedDeletion&, const RememberedDeletion&) = default;
};

/// Everything that the outcome of later records depends on.
struct ReplicatedState {
    /// Nothing before the first accepted record.
    std::optional<ConfigurationStamp> stamp;
    ConfigurationSet set;
    /// The first offset that is not folded in.
    Offset next = 0;
    /// Oldest first; at most \c bounds::rememberedRecords.
    std::deque<RememberedRecord> records;
    /// Oldest first; at most \c bounds::rememberedDeletions.
    std::deque<RememberedDeletion> deletions;
    /// Records and deletions before this offset may be forgotten. A publish record with an older base is rejected, since
    /// it might be a repeated one.
    Offset forgottenBefore = 0;

    friend bool operator==(const ReplicatedState&, const ReplicatedState&) = default;
};

}
