#pragma once

#include "carobpath/publication/ConfigurationSet.h"

#include <compare>
#include <cstdint>

namespace carobpath::publication {

/// Counts how often the platform's store has come back from a copy that lacks records that it had acknowledged. Offsets are
/// assigned again after each return, so an offset of one era identifies nothing in another. It is 0 for a store that does not
/// report one.
struct StoreEra {
    std::uint64_t number = 0;

    friend auto operator<=>(const StoreEra&, const StoreEra&) = default;
};

/// A position in a stream. Any position of a later era follows those of the eras before it.
struct StreamPosition {
    StoreEra era;
    Offset offset = 0;

    friend auto operator<=>(const StreamPosition&, const StreamPosition&) = default;
};

/// Consecutive records of a stream.
struct RecordSpan {
    StoreEra era;
    /// Offset of the first record, and of the one after the last.
    Offset since = 0;
    Offset end = 0;

    friend bool operator==(const RecordSpan&, const RecordSpan&) = default;
};

/// Bits of a packed position that hold the offset.
inline constexpr unsigned packedOffsetBits = 40;

/// \returns the position as one number that orders positions as they are.
constexpr Offset pack(const StreamPosition& position)
{
    return (position.era.number << packedOffsetBits) | position.offset;
}

constexpr StoreEra eraOfPacked(Offset packed) { return { packed >> packedOffsetBits }; }

}
