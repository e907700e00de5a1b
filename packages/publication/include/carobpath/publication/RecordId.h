#pragma once

#include "carobpath/foundation/Incarnation.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobpath::publication {

/// Names one record over all its appends: an append whose answer was lost is made again with the same id.
struct RecordId {
    /// The process that made the record; a valid name.
    std::string writer;
    Incarnation incarnation;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const RecordId&, const RecordId&) = default;
};

/// \returns "writer:incarnation:sequence".
std::string toString(const RecordId&);
std::optional<RecordId> recordIdFromString(std::string_view);

}
