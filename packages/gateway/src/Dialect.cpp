#include "carobpath/gateway/Dialect.h"

namespace carobpath::gateway {

namespace {

    constexpr unsigned badGateway = 502;
    constexpr unsigned unavailable = 503;
    constexpr unsigned gatewayTimeout = 504;

    /// Faults of the request itself: to send it again does not help.
    bool isRequestFault(routing::RefusalReason reason)
    {
        using routing::RefusalReason;
        switch (reason) {
        case RefusalReason::MalformedRequest:
        case RefusalReason::HeaderTooLarge:
        case RefusalReason::RequestTooLarge:
        case RefusalReason::UnknownHost:
        case RefusalReason::UnknownRoute:
        case RefusalReason::MethodNotAllowed:
        case RefusalReason::MissingKey:
        case RefusalReason::UnknownKey:
            return true;
        default:
            return false;
        }
    }

    bool isTimeout(routing::RefusalReason reason)
    {
        return reason == routing::RefusalReason::UpstreamTimeout || reason == routing::RefusalReason::DeadlineExceeded;
    }

}

unsigned statusByOutcome(const routing::Refusal& refusal)
{
    const bool hasOwnStatus = isRequestFault(refusal.reason) || refusal.reason == routing::RefusalReason::QuotaExceeded;
    if (hasOwnStatus)
        return routing::httpStatus(refusal.reason);
    if (refusal.outcome == routing::Outcome::NotRun)
        return unavailable;
    return isTimeout(refusal.reason) ? gatewayTimeout : badGateway;
}

}
