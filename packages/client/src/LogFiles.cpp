#include "internal/LogFiles.h"

namespace carobpath::client::Detail {

Logs readLogs(const Context& context, const std::vector<std::string>& files)
{
    Timeline merged;
    for (const auto& path : files)
        merged.readFile(path);
    Logs logs;
    for (const auto& fault : merged.faults()) {
        context.err << describe(fault) << '\n';
        logs.isReadable = logs.isReadable && fault.kind != TimelineFaultKind::UnreadableFile;
    }
    logs.events = merged.takeSorted();
    return logs;
}

}
