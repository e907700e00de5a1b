#include "carobpath/publication/ApplyOutcome.h"

#include "carobpath/foundation/EnumTable.h"

namespace carobpath::publication {

namespace {

    constexpr std::array<EnumRow<VerdictIgnoredReason>, 3> ignoredReasons { {
        { VerdictIgnoredReason::UnknownMove, "unknown-move" },
        { VerdictIgnoredReason::AlreadyEnded, "already-ended" },
        { VerdictIgnoredReason::OtherMove, "other-move" },
    } };

    /// Texts in the order of the alternatives of the variant.
    constexpr std::array<std::string_view, std::variant_size_v<ApplyOutcome>> outcomeTexts {
        "accepted",
        "rejected",
        "duplicate",
        "verdict-accepted",
        "verdict-ignored",
        "checkpoint-matched",
        "checkpoint-mismatch",
        "checkpoint-ignored",
        "bad-signature",
        "malformed",
        "out-of-order",
    };

}

std::string_view toString(const ApplyOutcome& it) { return outcomeTexts.at(it.index()); }
std::string_view toString(VerdictIgnoredReason it) { return enumText(ignoredReasons, it); }

}
