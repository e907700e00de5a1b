#include "carobpath/client/Timeline.h"
#include "internal/Commands.h"

#include <algorithm>

namespace carobpath::client::Detail {

namespace {

    constexpr std::size_t maximumFiles = 5000;

    ExitCode timeline(const Context& context)
    {
        Timeline merged;
        for (const auto& path : context.operands)
            merged.readFile(path);
        for (const auto& event : merged.takeSorted())
            context.out << (context.isJson ? event.line : describe(event)) << '\n';
        for (const auto& fault : merged.faults())
            context.err << describe(fault) << '\n';
        const bool isUnreadable = std::any_of(merged.faults().begin(), merged.faults().end(), [](const TimelineFault& it) { return it.kind == TimelineFaultKind::UnreadableFile; });
        return isUnreadable ? ExitCode::WrongInput : ExitCode::Ok;
    }

}

Command timelineCommand()
{
    return { "timeline", "FILE...", "Merge the event logs of processes in causal order; with --output json the events as they were written", 1, maximumFiles, false, {}, timeline };
}

}
