#include "carobpath/routing/Admission.h"

#include "carobpath/foundation/EnumTable.h"

namespace carobpath::routing {

namespace {

    constexpr std::array<EnumRow<BackendResult>, 7> results { {
        { BackendResult::Answered, "answered" },
        { BackendResult::ServerError, "server-error" },
        { BackendResult::Refused, "refused" },
        { BackendResult::ConnectFailed, "connect-failed" },
        { BackendResult::ConnectionLost, "connection-lost" },
        { BackendResult::TimedOut, "timed-out" },
        { BackendResult::Cancelled, "cancelled" },
    } };

}

std::string_view toString(BackendResult it) { return enumText(results, it); }

}
