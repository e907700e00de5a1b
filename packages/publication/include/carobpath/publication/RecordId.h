#pragma once

#include "carobpath/foundation/Incarnation.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobpath::publication {

/// Identifies one record across repeated appends: if the answer to an append is lost, the append is repeated with the same id.
struct RecordId {
    /// The process that created the record; a valid name.
    std::string writer;
    Incarnation incarnation;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const RecordId&, const RecordId&) = default;
};

/// \returns "writer:incarnation:sequence".
std::string toString(const RecordId&);
std::optional<RecordId> recordIdFromString(std::string_view);

}
