#pragma once

#include "carobpath/foundation/Endpoint.h"
#include "carobpath/foundation/Result.h"
#include "carobpath/membership/NodeEntry.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace carobpath::node {

/// What a backend server says of itself to the node beside it.
struct Announcement {
    membership::Upstream upstream;
    /// Where it takes the node's requests.
    Endpoint backend;

    friend bool operator==(const Announcement&, const Announcement&) = default;
};

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
