#pragma once

#include "Process.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carobpath::drill {

/// One promise of the system with what the drill counted for it.
struct PromiseCount {
    std::string promise;
    /// Nothing where the drill did not exercise it.
    std::optional<std::uint64_t> broken;
    std::string detail;
};

/// What the time lines say of configurations.
struct ConfigurationFindings {
    std::uint64_t inForce = 0;
    /// A node took a version older than one that it held, in this life or an earlier one.
    std::uint64_t stepsBack = 0;
    /// Two nodes held different sets under one offset.
    std::uint64_t digestConflicts = 0;
};

/// \param events of all nodes, each node's in its own order.
ConfigurationFindings auditConfigurations(const std::vector<harness::EventLine>& events);

/// \returns the lines of all processes in the order of their hybrid times.
std::string mergedTimeLine(std::vector<harness::EventLine> events);

/// \returns a table of the promises.
std::string table(const std::vector<PromiseCount>&);

}
