#pragma once

#include "carobpath/client/CallTrace.h"

#include <string>
#include <string_view>

namespace carobpath::client {

/// What became of a call, from its caller's point of view.
enum class CallResult {
    /// Answered by a backend server, within the route's objective where it has one.
    Served,
    /// Answered by a backend server later than the route's objective.
    Late,
    /// Answered with an error by the backend server itself.
    ServerError,
    /// Refused; the call did not run.
    Refused,
    /// Given up; the call may have run.
    Unknown,
    /// The answer ended before it was whole.
    CutShort,
    /// The caller went away before the answer.
    CallerGone,
    /// The logs hold lines of the call and not its end.
    Unfinished,
    /// The logs hold no line of the call.
    NotSeen,
};

std::string_view toString(CallResult);

/// Why a call ended as it did.
struct Explanation {
    CallResult result = CallResult::NotSeen;
    /// The reason code of the answer; empty where a backend server answered.
    std::string reason;
    /// Sentences for people: what happened, in the order of its weight.
    std::vector<std::string> causes;
    /// What on-call looks at next.
    std::string nextStep;
};

Explanation explain(const CallTrace&);

}
