#pragma once

#include "Process.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carobpath::harness {

/// Counts of what callers were told against what backend servers ran.
struct RunAudit {
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t refusedAsNotRun = 0;
    std::uint64_t unknown = 0;

    /// Answers that were not the call's own.
    std::uint64_t wrongAnswers = 0;
    /// Calls that may not be repeated and ran more than once.
    std::uint64_t repeatedRuns = 0;
    /// Calls refused as "not-run" that ran.
    std::uint64_t falseRefusals = 0;
    /// Calls answered as "ran" that no backend server ran.
    std::uint64_t falseRuns = 0;
    /// Calls answered with neither a whole answer nor an outcome, with the connection's error.
    std::uint64_t withoutAnswer = 0;

    /// One line for each broken promise, at most s_maximumFindings.
    std::vector<std::string> findings;

    static constexpr std::size_t s_maximumFindings = 20;

    bool isClean() const { return wrongAnswers + repeatedRuns + falseRefusals + falseRuns == 0; }
};

/// Compares the "call" events of a load with the "executed" events of every backend server of the fleet.
/// Calls whose method is POST may not be repeated.
RunAudit auditRuns(const std::vector<EventLine>& calls, const std::vector<EventLine>& runs);

/// \returns one line of the counts.
std::string describe(const RunAudit&);

}
