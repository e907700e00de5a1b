#pragma once

#include "carobpath/foundation/Result.h"
#include "carobpath/membership/Announcement.h"

#include <string>
#include <string_view>

namespace carobpath::node {

using membership::Announcement;

/// Why an announcement was refused.
enum class AnnouncementFaultKind : std::uint8_t {
    NotJson,
    MissingField,
    WrongType,
    OutOfBounds,
    UnknownState,
};

struct AnnouncementFault {
    AnnouncementFaultKind kind = AnnouncementFaultKind::NotJson;
    /// The field concerned; empty where the whole text is no JSON object.
    std::string field;
};

std::string_view toString(AnnouncementFaultKind);

/// Reads the body of \c PUT /v1/upstream, see docs/INTERFACES.md. Fails with \c AnnouncementFault.
Result<Announcement> parseAnnouncement(std::string_view body);

}
