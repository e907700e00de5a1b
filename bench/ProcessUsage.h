#pragma once

#include <sys/types.h>

#include <cstdint>

namespace carobpath::bench {

/// What a process has used, read from /proc.
struct ProcessUsage {
    /// User and system time since the start.
    double processorSeconds = 0;
    std::uint64_t residentBytes = 0;
};

/// Throws where there is no such process.
ProcessUsage usageOf(pid_t);

}
