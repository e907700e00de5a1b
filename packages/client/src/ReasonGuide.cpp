#include "internal/ReasonGuide.h"

#include <algorithm>
#include <array>

namespace carobpath::client::Detail {

namespace {

    constexpr std::array guides {
        ReasonGuide { "malformed-request", "The request breaks HTTP, or lacks a field that the node needs.", "Look at the caller: its request has to be mended." },
        ReasonGuide { "header-too-large", "The request's header is larger than the limit in force.", "Look at the caller, or raise the limit." },
        ReasonGuide { "request-too-large", "The request's body is larger than the limit in force.", "Look at the caller, or raise the limit." },
        ReasonGuide { "unknown-host", "No route has the request's host in the configuration in force.", "Compare the host with the routes in force at the entry node." },
        ReasonGuide { "unknown-route", "No route has a prefix of the request's path in the configuration in force.", "Compare the path with the routes in force at the entry node." },
        ReasonGuide { "method-not-allowed", "The route does not take the request's method.", "Compare the method with the route." },
        ReasonGuide { "missing-key", "The request has no API key, and its route does not accept calls without one.", "Look at the caller, or allow anonymous callers on the route." },
        ReasonGuide { "unknown-key", "No workspace held the request's API key in the configuration in force at the entry node.", "Compare the configuration's offset with that of the version that added or withdrew the key." },
        ReasonGuide { "quota-exceeded", "The workspace had used up its rate limit over all nodes.", "Compare the workspace's calls with its limit; raise the limit, or look at the caller." },
        ReasonGuide { "not-ready", "The entry node had no configuration in force, or did not know the running moves.", "See when the node became ready, and whether it reaches the log and other nodes." },
        ReasonGuide { "no-upstream", "The entry node knew no usable upstream of the service.", "See which upstreams were announced, gone or draining at the time." },
        ReasonGuide { "overloaded", "Every upstream that was asked expected its answer too late.", "Compare calls, limit and service time of the upstreams; more backend servers help." },
        ReasonGuide { "rate-limited", "Every upstream that could take the call names a limit of calls per second that others use up.", "Look for backend-reported with callsPerSecond at the nodes of the service, and why its backend servers name a limit." },
        ReasonGuide { "draining", "The upstreams that were asked are leaving.", "See why the service has no other upstream: a release or a scale-in that goes too fast." },
        ReasonGuide { "deadline-exceeded", "The caller's deadline passed before an answer.", "See where the time went: waiting, the backend server, or attempts before the last." },
        ReasonGuide { "retry-budget-exhausted", "The attempt failed, and the retry budget allowed no other.", "Look for the failure that uses the budget up: failed attempts of other calls at that time." },
        ReasonGuide { "quarantined", "The same request was seen to crash backend servers before.", "Look for backend-crashed; mend the backend server or the caller's request." },
        ReasonGuide { "duplicate-in-progress", "A call with the same id or idempotency key was running, or its end was not known.", "Look at the other call." },
        ReasonGuide { "duplicate-ran", "A call with the same idempotency key ran before.", "Nothing: the caller has its answer." },
        ReasonGuide { "idempotency-unavailable", "The idempotency key could not be recorded.", "See whether the log was reachable and which node owns the key." },
        ReasonGuide { "upstream-unreachable", "No connection could be made to the backend server or to the node beside it.", "See whether the process at that address ran, and whether the network let it be reached." },
        ReasonGuide { "upstream-connection-lost", "The connection broke or fell silent after the request was sent.", "Look at the node that was asked and the backend server beside it: crash, restart, freeze or a cut network." },
        ReasonGuide { "upstream-timeout", "The upstream did not answer within the time that the attempt was given.", "Look at the backend server: its service time, a freeze, its processor." },
        ReasonGuide { "upstream-refused", "The backend server itself refused the call and did not run it.", "Look at the backend server's own limits." },
        ReasonGuide { "cancelled", "The caller closed its connection before the answer.", "Compare the call's time with the caller's own timeout." },
    };

    constexpr ReasonGuide unknownReason { "", "The reason is not known to this version of carobpath.", "Use the client of the nodes' version." };

}

const ReasonGuide& guideOf(std::string_view reason)
{
    const auto* it = std::find_if(guides.begin(), guides.end(), [reason](const ReasonGuide& guide) { return guide.reason == reason; });
    return it == guides.end() ? unknownReason : *it;
}

}
