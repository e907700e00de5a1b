#pragma once

#include "carobpath/foundation/Time.h"

#include <optional>
#include <string_view>

namespace carobpath::publication::Detail {

/// Reads ISO 8601 in UTC such as "2026-12-03T22:50:00Z" or "2026-12-03T22:50:00.250Z", or "+DURATION" such as "+30s",
/// which is relative to \c publishedAt.
std::optional<WallTime> wallTimeFromText(std::string_view text, WallTime publishedAt);

/// Reads an integer with one of the units ms, s, m, h.
std::optional<std::chrono::milliseconds> durationFromText(std::string_view text);

}
