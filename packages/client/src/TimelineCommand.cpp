#include "internal/Commands.h"
#include "internal/LogFiles.h"

namespace carobpath::client::Detail {

namespace {

    ExitCode timeline(const Context& context)
    {
        const auto logs = readLogs(context, context.operands);
        for (const auto& event : logs.events)
            context.out << (context.isJson ? event.line : describe(event)) << '\n';
        return logs.isReadable ? ExitCode::Ok : ExitCode::WrongInput;
    }

}

Command timelineCommand()
{
    return { "timeline", "FILE...", "Merge the event logs of processes in causal order; with --output json the events as they were written", 1, maximumLogFiles, false, {}, timeline };
}

}
