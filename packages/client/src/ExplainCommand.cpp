#include "carobpath/client/Explanation.h"
#include "internal/Commands.h"
#include "internal/LogFiles.h"

namespace carobpath::client::Detail {

namespace {

    using nlohmann::json;

    json linesOf(const std::vector<TimelineEvent>& events)
    {
        json lines = json::array();
        for (const auto& it : events)
            lines.push_back(json::parse(it.line, nullptr, false));
        return lines;
    }

    json beliefsOf(const CallTrace& trace)
    {
        json beliefs = json::array();
        for (const auto& it : trace.beliefs)
            beliefs.push_back({ { "ageMs", it.age.count() }, { "event", json::parse(it.event.line, nullptr, false) } });
        return beliefs;
    }

    json leftOutOf(const CallTrace& trace)
    {
        json leftOut = json::array();
        for (const auto& it : trace.leftOut)
            leftOut.push_back({ { "process", it.process }, { "event", it.event }, { "count", it.count } });
        return leftOut;
    }

    json toJson(const CallTrace& trace, const Explanation& explanation)
    {
        return {
            { "request", trace.request.value() },
            { "result", toString(explanation.result) },
            { "reason", explanation.reason },
            { "causes", explanation.causes },
            { "nextStep", explanation.nextStep },
            { "complete", trace.isComplete() },
            { "lines", linesOf(trace.lines) },
            { "beliefs", beliefsOf(trace) },
            { "leftOut", leftOutOf(trace) },
        };
    }

    void printTrace(const Context& context, const CallTrace& trace)
    {
        for (const auto& it : trace.lines)
            context.printText("  " + describe(it));
        if (!trace.beliefs.empty())
            context.printText("What the processes on its path believed:");
        for (const auto& it : trace.beliefs)
            context.printText("  " + describe(it.event) + "  (" + std::to_string(it.age.count()) + " ms before)");
        for (const auto& it : trace.leftOut)
            context.printText("Left out meanwhile: " + std::to_string(it.count) + " lines " + it.event + " of " + it.process + "; lines of this call may be among them.");
    }

    void print(const Context& context, const CallTrace& trace, const Explanation& explanation)
    {
        const auto reason = explanation.reason.empty() ? std::string {} : " (" + explanation.reason + ")";
        context.printText(trace.request.value() + ": " + std::string { toString(explanation.result) } + reason);
        for (const auto& it : explanation.causes)
            context.printText("  " + it);
        context.printText("Next: " + explanation.nextStep);
        if (!trace.lines.empty())
            context.printText("Its lines:");
        printTrace(context, trace);
    }

    ExitCode explainRequest(const Context& context)
    {
        const std::vector<std::string> files { context.operands.begin() + 1, context.operands.end() };
        const auto logs = readLogs(context, files);
        const auto trace = traceOf(RequestId { context.operands.front() }, logs.events);
        const auto explanation = explain(trace);
        context.printJson(toJson(trace, explanation));
        print(context, trace, explanation);
        if (!logs.isReadable)
            return ExitCode::WrongInput;
        return explanation.result == CallResult::NotSeen ? ExitCode::NotFound : ExitCode::Ok;
    }

}

Command explainCommand()
{
    return { "explain", "REQUEST-ID FILE...", "Tell from the event logs of processes what became of a call, and why", 2, maximumLogFiles + 1, false, {}, explainRequest };
}

}
