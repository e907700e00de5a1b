#pragma once

#include "moves/Experiment.h"

#include <string>
#include <vector>

namespace carobpath::bench {

/// All seeds of one case, for one member and policy.
struct Summary {
    std::string caseName;
    std::string member;
    PolicyKind policy = PolicyKind::Ours;
    std::size_t runs = 0;
    std::size_t good = 0;
    std::size_t doneInTime = 0;
    std::size_t done = 0;
    std::size_t bad = 0;
    std::size_t takenBack = 0;
    std::size_t withdrawn = 0;
    /// Runs of bad versions in which the badness showed and calls stopped, and those where that took over 1 s:
    /// from the undelayed counts of all nodes, then from the first node's finding.
    std::size_t stopped = 0;
    std::size_t stoppedLate = 0;
    milliseconds stopDelayP50 {};
    milliseconds stopDelayP99 {};
    std::size_t found = 0;
    std::size_t foundLate = 0;
    milliseconds foundDelayMax {};
    double harmedPart = 0;
    double harmedPerMove = 0;
    /// Largest share that a bad version had: mean and largest over the seeds.
    double meanBadShare = 0;
    double largestBadShare = 0;
    double bytesPerNodeSecond = 0;
    double appendsPerMove = 0;
};

Summary summarize(std::string caseName, std::string member, PolicyKind, const std::vector<RunResult>&);
std::string tableHead();
std::string tableRow(const Summary&);
std::string toJson(const Summary&);

}
