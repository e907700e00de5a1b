#include "carobpath/foundation/PlatformKind.h"

#include "carobpath/foundation/EnumTable.h"

namespace carobpath {

namespace {

    constexpr std::array<EnumRow<PlatformKind>, 2> kinds { {
        { PlatformKind::Own, "own" },
        { PlatformKind::Fleet, "fleet" },
    } };

}

std::optional<PlatformKind> platformKindFromText(std::string_view text) { return enumValue(kinds, text); }

std::string_view toString(PlatformKind it) { return enumText(kinds, it); }

}
