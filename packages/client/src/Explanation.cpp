#include "carobpath/client/Explanation.h"

#include "carobpath/foundation/EnumTable.h"
#include "internal/ReasonGuide.h"

#include <algorithm>
#include <cstdio>

namespace carobpath::client {

namespace {

    using Milliseconds = std::chrono::duration<double, std::milli>;

    constexpr std::array<EnumRow<CallResult>, 9> results { {
        { CallResult::Served, "served" },
        { CallResult::Late, "late" },
        { CallResult::ServerError, "server-error" },
        { CallResult::Refused, "refused" },
        { CallResult::Unknown, "unknown" },
        { CallResult::CutShort, "cut-short" },
        { CallResult::CallerGone, "caller-gone" },
        { CallResult::Unfinished, "unfinished" },
        { CallResult::NotSeen, "not-seen" },
    } };

    constexpr unsigned firstServerError = 500;

    std::string text(Milliseconds time)
    {
        std::array<char, 32> buf {};
        std::snprintf(buf.data(), buf.size(), "%.1f ms", time.count());
        return buf.data();
    }

    CallResult resultOf(const CallTrace& trace)
    {
        if (trace.lines.empty())
            return CallResult::NotSeen;
        if (!trace.end)
            return CallResult::Unfinished;
        const auto& end = *trace.end;
        if (end.reason == "cancelled")
            return CallResult::CallerGone;
        if (!end.cut.empty())
            return CallResult::CutShort;
        if (end.outcome == "not-run")
            return CallResult::Refused;
        if (end.outcome != "ran" || !end.reason.empty())
            return CallResult::Unknown;
        if (end.status >= firstServerError)
            return CallResult::ServerError;
        return end.objective && end.took > *end.objective ? CallResult::Late : CallResult::Served;
    }

    /// Where the time of a call went.
    struct TimeSpent {
        /// In attempts before the last.
        Milliseconds earlierAttempts {};
        /// At the backend server of the last attempt.
        Milliseconds atBackend {};
        /// Between the nodes and waiting for a slot, in the last attempt.
        Milliseconds waiting {};
    };

    /// A node may be asked twice; an attempt that did not run reached its backend server only where that refused it.
    const BackendEnded* backendOf(const CallTrace& trace, const AttemptEnded& attempt)
    {
        const bool hasRun = attempt.outcome != "not-run";
        const auto it = std::find_if(trace.backends.begin(), trace.backends.end(), [&](const BackendEnded& backend) {
            const bool isRefusal = backend.result == "refused" || backend.result == "connect-failed";
            return backend.process == processOf(attempt.node) && isRefusal != hasRun;
        });
        return it == trace.backends.end() ? nullptr : &*it;
    }

    TimeSpent timeSpent(const CallTrace& trace)
    {
        TimeSpent spent;
        if (trace.attempts.empty())
            return spent;
        const auto& last = trace.attempts.back();
        for (const auto& it : trace.attempts)
            spent.earlierAttempts += &it == &last ? Milliseconds {} : it.took;
        const auto* backend = backendOf(trace, last);
        spent.atBackend = backend ? backend->took : Milliseconds {};
        spent.waiting = last.took - spent.atBackend;
        return spent;
    }

    std::string describeTime(const CallTrace& trace)
    {
        const auto spent = timeSpent(trace);
        return "Of " + text(trace.end->took) + ", " + text(spent.atBackend) + " went by at the backend server, " + text(spent.waiting)
            + " on the way to it and waiting for a slot, " + text(spent.earlierAttempts) + " in attempts before.";
    }

    std::string nextStepAfter(const TimeSpent& spent)
    {
        if (spent.earlierAttempts > spent.atBackend && spent.earlierAttempts > spent.waiting)
            return "Look at the attempts before the last: why each ended.";
        if (spent.atBackend > spent.waiting)
            return "Look at the backend server: its service time is most of the call.";
        return "Compare calls, limit and service time of the upstream: the call waited for a slot or for the network.";
    }

    std::string describeAttempt(const CallTrace& trace, const AttemptEnded& it)
    {
        const auto* backend = backendOf(trace, it);
        auto line = "Attempt " + std::to_string(it.number) + " at " + it.node + " ended after " + text(it.took) + " as " + it.outcome;
        if (!it.reason.empty())
            line += " (" + it.reason + ")";
        if (backend)
            return line + "; its backend server: " + backend->result + " after " + text(backend->took) + ".";
        return line + "; no line tells that its backend server got the call.";
    }

    bool isDecidedByKey(std::string_view reason) { return reason == "missing-key" || reason == "unknown-key" || reason == "quota-exceeded"; }

    std::string describeAccess(const CallEnded& end)
    {
        std::string line = end.workspace.empty() ? "No workspace of the caller was known" : "The caller's workspace is " + end.workspace;
        if (end.configuration)
            line += "; the entry node decided by configuration version " + std::to_string(*end.configuration);
        if (end.configurationAge)
            line += ", which the store had confirmed " + text(*end.configurationAge) + " before";
        return line + ".";
    }

    bool showsAttempts(CallResult result) { return result != CallResult::Served && result != CallResult::NotSeen; }

    std::string nextStepOf(CallResult result, const CallTrace& trace)
    {
        switch (result) {
        case CallResult::Served:
            return "Nothing: the call was served.";
        case CallResult::Late:
            return nextStepAfter(timeSpent(trace));
        case CallResult::ServerError:
            return "Look at the log of the backend server that answered.";
        case CallResult::CutShort:
            return trace.end->cut == "cut-by-receiver" ? "Look at the caller: it took no more of the answer, or its connection broke."
                                                       : "Look at the backend server of the last attempt and the way to it: the answer's body broke off.";
        case CallResult::Unfinished:
            return "Take in the log of the node that the call entered; the call may be running, or the node ended in its midst.";
        case CallResult::NotSeen:
            return "Take in the logs of all nodes of that time; a caller may also have sent the call elsewhere.";
        case CallResult::Refused:
        case CallResult::Unknown:
        case CallResult::CallerGone:
            break;
        }
        return std::string { Detail::guideOf(trace.end->reason).nextStep };
    }

    std::vector<std::string> causesOf(CallResult result, const CallTrace& trace)
    {
        std::vector<std::string> causes;
        if (trace.end && !trace.end->reason.empty())
            causes.emplace_back(Detail::guideOf(trace.end->reason).meaning);
        if (trace.end && isDecidedByKey(trace.end->reason))
            causes.push_back(describeAccess(*trace.end));
        if (trace.end && result == CallResult::Late)
            causes.push_back("The answer took longer than the objective of " + text(*trace.end->objective) + ".");
        if (trace.end && !trace.attempts.empty())
            causes.push_back(describeTime(trace));
        if (showsAttempts(result)) {
            for (const auto& it : trace.attempts)
                causes.push_back(describeAttempt(trace, it));
        }
        return causes;
    }

}

std::string_view toString(CallResult result) { return enumText(results, result); }

Explanation explain(const CallTrace& trace)
{
    Explanation it;
    it.result = resultOf(trace);
    it.reason = trace.end ? trace.end->reason : "";
    it.causes = causesOf(it.result, trace);
    it.nextStep = nextStepOf(it.result, trace);
    return it;
}

}
