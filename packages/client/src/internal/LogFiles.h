#pragma once

#include "carobpath/client/Timeline.h"
#include "internal/Context.h"

#include <vector>

namespace carobpath::client::Detail {

inline constexpr std::size_t maximumLogFiles = 5000;

/// The events of several log files.
struct Logs {
    /// In causal order.
    std::vector<TimelineEvent> events;
    /// False where a file could not be read.
    bool isReadable = true;
};

/// Reads the files and reports what is wrong with them on the error output.
Logs readLogs(const Context&, const std::vector<std::string>& files);

}
