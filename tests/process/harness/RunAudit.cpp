#include "RunAudit.h"

#include <map>
#include <sstream>

namespace carobpath::harness {

namespace {

    void addFinding(RunAudit& audit, std::uint64_t& counter, const EventLine& call, const std::string& what)
    {
        ++counter;
        if (audit.findings.size() < RunAudit::s_maximumFindings)
            audit.findings.push_back(what + ": " + call.dump());
    }

    void auditOutcome(RunAudit& audit, const EventLine& call, std::uint64_t runs)
    {
        const auto outcome = call.value("outcome", "");
        if (call.value("status", 0) == 0)
            ++audit.withoutAnswer;
        if (outcome == "ran") {
            ++audit.answered;
            if (runs == 0)
                addFinding(audit, audit.falseRuns, call, "answered as ran, and never run");
        } else if (outcome == "not-run") {
            ++audit.refusedAsNotRun;
            if (runs > 0)
                addFinding(audit, audit.falseRefusals, call, "refused as not run, and run " + std::to_string(runs) + " times");
        } else if (outcome == "unknown") {
            ++audit.unknown;
        }
    }

}

RunAudit auditRuns(const std::vector<EventLine>& calls, const std::vector<EventLine>& runs)
{
    std::map<std::string, std::uint64_t> runsByPath;
    for (const auto& run : runs)
        ++runsByPath[run.value("method", "") + " " + run.value("path", "")];
    RunAudit audit;
    for (const auto& call : calls) {
        ++audit.calls;
        const bool isRepeatable = call.value("method", "") != "POST";
        const auto count = runsByPath[call.value("method", "") + " " + call.value("path", "")];
        auditOutcome(audit, call, count);
        if (!isRepeatable && count > 1)
            addFinding(audit, audit.repeatedRuns, call, "run " + std::to_string(count) + " times");
        if (!call.value("isOwnAnswer", true))
            addFinding(audit, audit.wrongAnswers, call, "answer of another call");
    }
    return audit;
}

std::string describe(const RunAudit& audit)
{
    std::ostringstream text;
    text << audit.calls << " calls: " << audit.answered << " ran, " << audit.refusedAsNotRun << " not run, " << audit.unknown << " unknown, "
         << audit.withoutAnswer << " without an answer; broken: " << audit.wrongAnswers << " wrong answers, " << audit.repeatedRuns << " repeated runs, "
         << audit.falseRefusals << " false refusals, " << audit.falseRuns << " false runs";
    for (const auto& finding : audit.findings)
        text << "\n  " << finding;
    return text.str();
}

}
