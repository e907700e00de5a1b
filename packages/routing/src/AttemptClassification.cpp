#include "AttemptClassification.h"

namespace carobpath::routing {

namespace {

    constexpr unsigned firstServerError = 500;

    bool isRetryableStatus(unsigned status)
    {
        return status == 500 || status == 502 || status == 503 || status == 504;
    }

    UpstreamSignal signalOfRefusal(RefusalReason reason)
    {
        switch (reason) {
        case RefusalReason::Draining:
        case RefusalReason::NoUpstream:
        case RefusalReason::NotReady:
            return UpstreamSignal::NotServing;
        case RefusalReason::UpstreamUnreachable:
            return UpstreamSignal::Unreachable;
        case RefusalReason::Overloaded:
        case RefusalReason::RateLimited:
        case RefusalReason::UpstreamRefused:
        case RefusalReason::DeadlineExceeded:
            return UpstreamSignal::Overloaded;
        default:
            return UpstreamSignal::Abandoned;
        }
    }

}

UpstreamSignal signalOf(const AttemptResult& result)
{
    if (result.outcome == Outcome::Ran)
        return result.status >= firstServerError ? UpstreamSignal::ServerError : UpstreamSignal::Answered;
    if (result.reason == RefusalReason::Cancelled)
        return UpstreamSignal::Abandoned;
    if (result.reason == RefusalReason::UpstreamTimeout && result.latency < minInactivityTime)
        return UpstreamSignal::Abandoned;
    if (result.outcome == Outcome::Unknown)
        return UpstreamSignal::Lost;
    return signalOfRefusal(reasonOf(result));
}

NodeReachability reachabilityOf(const AttemptResult& result)
{
    if (result.status != 0)
        return NodeReachability::Answered;
    return result.outcome == Outcome::NotRun ? NodeReachability::Unreachable : NodeReachability::Unresponsive;
}

bool otherUpstreamMayHelp(const AttemptResult& result)
{
    if (result.outcome == Outcome::Ran)
        return isRetryableStatus(result.status);
    switch (reasonOf(result)) {
    case RefusalReason::NotReady:
    case RefusalReason::NoUpstream:
    case RefusalReason::Overloaded:
    case RefusalReason::RateLimited:
    case RefusalReason::Draining:
    case RefusalReason::UpstreamUnreachable:
    case RefusalReason::UpstreamConnectionLost:
    case RefusalReason::UpstreamTimeout:
    case RefusalReason::UpstreamRefused:
    case RefusalReason::DeadlineExceeded:
        return true;
    default:
        return false;
    }
}

bool isBackendLoss(const AttemptResult& result)
{
    return result.outcome == Outcome::Unknown && result.status != 0 && reasonOf(result) == RefusalReason::UpstreamConnectionLost;
}

bool reachedBackend(const AttemptResult& result)
{
    return result.outcome != Outcome::NotRun || reasonOf(result) == RefusalReason::UpstreamRefused;
}

bool wasRefusedForLoad(const AttemptResult& result)
{
    const auto reason = reasonOf(result);
    return result.outcome == Outcome::NotRun && (reason == RefusalReason::Overloaded || reason == RefusalReason::RateLimited);
}

bool causedNoLoad(const AttemptResult& result)
{
    if (result.outcome != Outcome::NotRun)
        return false;
    const auto signal = signalOf(result);
    return wasRefusedForLoad(result) || signal == UpstreamSignal::NotServing || signal == UpstreamSignal::Unreachable;
}

RefusalReason reasonOf(const AttemptResult& result)
{
    if (result.reason)
        return *result.reason;
    return result.outcome == Outcome::NotRun ? RefusalReason::UpstreamUnreachable
                                             : RefusalReason::UpstreamConnectionLost;
}

std::optional<std::chrono::milliseconds> defaultRetryAfter(RefusalReason reason, Outcome outcome, bool repeatable)
{
    using std::chrono::milliseconds;
    if (outcome != Outcome::NotRun && !repeatable)
        return std::nullopt;
    switch (reason) {
    case RefusalReason::Draining:
    case RefusalReason::Overloaded:
    case RefusalReason::RateLimited:
    case RefusalReason::UpstreamRefused:
        return milliseconds { 200 };
    case RefusalReason::RetryBudgetExhausted:
    case RefusalReason::UpstreamUnreachable:
    case RefusalReason::UpstreamConnectionLost:
    case RefusalReason::DeadlineExceeded:
        return milliseconds { 500 };
    case RefusalReason::NotReady:
    case RefusalReason::NoUpstream:
    case RefusalReason::IdempotencyUnavailable:
    case RefusalReason::UpstreamTimeout:
        return milliseconds { 1000 };
    default:
        return std::nullopt;
    }
}

}
