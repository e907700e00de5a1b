#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/publication/ConfigurationSet.h"

#include <compare>

namespace carobpath::moves {

/// Identifies a move, and distinguishes it from earlier moves of the same name.
struct MoveId {
    MoveName name;
    publication::Offset publishedAt = 0;

    friend auto operator<=>(const MoveId&, const MoveId&) = default;
};

}
