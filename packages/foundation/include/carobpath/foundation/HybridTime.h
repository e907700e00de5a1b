#pragma once

#include "carobpath/foundation/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobpath {

/// A moment of a hybrid logical clock: the wall clock in milliseconds, and a counter that orders events within one.
struct HybridTime {
    WallTime wall {};
    std::uint32_t counter = 0;

    friend auto operator<=>(const HybridTime&, const HybridTime&) = default;
};

/// \returns "MILLIS.COUNTER", such as "1796338200123.4".
std::string toString(const HybridTime&);

/// \returns the time; empty unless the text is "MILLIS.COUNTER" in decimal digits and within the range of both numbers.
std::optional<HybridTime> hybridTimeFromText(std::string_view text);

}
