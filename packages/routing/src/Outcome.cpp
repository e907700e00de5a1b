#include "carobpath/routing/Outcome.h"

#include "carobpath/foundation/EnumTable.h"

#include <array>

namespace carobpath::routing {

namespace {

    constexpr std::array<EnumRow<Outcome>, 3> outcomes { {
        { Outcome::Ran, "ran" },
        { Outcome::NotRun, "not-run" },
        { Outcome::Unknown, "unknown" },
    } };

    struct ReasonRow {
        RefusalReason reason;
        std::string_view text;
        unsigned status;
    };

    constexpr std::array reasonRows {
        ReasonRow { RefusalReason::MalformedRequest, "malformed-request", 400 },
        ReasonRow { RefusalReason::HeaderTooLarge, "header-too-large", 431 },
        ReasonRow { RefusalReason::RequestTooLarge, "request-too-large", 413 },
        ReasonRow { RefusalReason::UnknownHost, "unknown-host", 404 },
        ReasonRow { RefusalReason::UnknownRoute, "unknown-route", 404 },
        ReasonRow { RefusalReason::MethodNotAllowed, "method-not-allowed", 405 },
        ReasonRow { RefusalReason::MissingKey, "missing-key", 401 },
        ReasonRow { RefusalReason::UnknownKey, "unknown-key", 401 },
        ReasonRow { RefusalReason::QuotaExceeded, "quota-exceeded", 429 },
        ReasonRow { RefusalReason::NotReady, "not-ready", 503 },
        ReasonRow { RefusalReason::NoUpstream, "no-upstream", 503 },
        ReasonRow { RefusalReason::Overloaded, "overloaded", 503 },
        ReasonRow { RefusalReason::RateLimited, "rate-limited", 503 },
        ReasonRow { RefusalReason::Draining, "draining", 503 },
        ReasonRow { RefusalReason::DeadlineExceeded, "deadline-exceeded", 504 },
        ReasonRow { RefusalReason::RetryBudgetExhausted, "retry-budget-exhausted", 503 },
        ReasonRow { RefusalReason::Quarantined, "quarantined", 422 },
        ReasonRow { RefusalReason::DuplicateInProgress, "duplicate-in-progress", 409 },
        ReasonRow { RefusalReason::DuplicateRan, "duplicate-ran", 409 },
        ReasonRow { RefusalReason::IdempotencyUnavailable, "idempotency-unavailable", 503 },
        ReasonRow { RefusalReason::UpstreamUnreachable, "upstream-unreachable", 502 },
        ReasonRow { RefusalReason::UpstreamConnectionLost, "upstream-connection-lost", 502 },
        ReasonRow { RefusalReason::UpstreamTimeout, "upstream-timeout", 504 },
        ReasonRow { RefusalReason::UpstreamRefused, "upstream-refused", 503 },
        ReasonRow { RefusalReason::Cancelled, "cancelled", 499 },
    };

}

std::string_view toString(Outcome it) { return enumText(outcomes, it); }
std::optional<Outcome> outcomeFromString(std::string_view text) { return enumValue(outcomes, text); }

std::string_view toString(RefusalReason reason)
{
    for (const auto& row : reasonRows) {
        if (row.reason == reason)
            return row.text;
    }
    return "no-upstream";
}

std::optional<RefusalReason> refusalReasonFromString(std::string_view text)
{
    for (const auto& row : reasonRows) {
        if (row.text == text)
            return row.reason;
    }
    return std::nullopt;
}

bool isWantOfRoom(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoUpstream:
    case RefusalReason::Overloaded:
    case RefusalReason::RateLimited:
    case RefusalReason::DeadlineExceeded:
    case RefusalReason::UpstreamTimeout:
        return true;
    default:
        return false;
    }
}

unsigned httpStatus(RefusalReason reason)
{
    for (const auto& row : reasonRows) {
        if (row.reason == reason)
            return row.status;
    }
    return 503;
}

}
