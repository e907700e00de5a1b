#include "carobpath/publication/LogService.h"

#include "carobpath/foundation/EnumTable.h"

namespace carobpath::publication {

namespace {

    constexpr std::array<EnumRow<LogError>, 6> logErrors { {
        { LogError::Unavailable, "unavailable" },
        { LogError::AnswerLost, "answer-lost" },
        { LogError::TimedOut, "timed-out" },
        { LogError::Malformed, "malformed" },
        { LogError::Refused, "refused" },
        { LogError::ConditionFailed, "condition-failed" },
    } };

}

std::string_view toString(LogError it) { return enumText(logErrors, it); }

}
