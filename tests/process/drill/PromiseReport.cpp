#include "PromiseReport.h"

#include "carobpath/foundation/HybridTime.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>

namespace carobpath::drill {

using harness::EventLine;

ConfigurationFindings auditConfigurations(const std::vector<EventLine>& events)
{
    ConfigurationFindings findings;
    std::map<std::string, std::uint64_t> held;
    std::map<std::uint64_t, std::set<std::string>> digests;
    for (const auto& event : events) {
        if (event.value("event", "") != "configuration-in-force")
            continue;
        ++findings.inForce;
        const auto offset = event.value("offset", std::uint64_t { 0 });
        auto& highest = held[event.value("process", "")];
        findings.stepsBack += offset < highest ? 1 : 0;
        highest = std::max(highest, offset);
        digests[offset].insert(event.value("digest", ""));
    }
    for (const auto& [offset, seen] : digests)
        findings.digestConflicts += seen.size() - 1;
    return findings;
}

std::string mergedTimeLine(std::vector<EventLine> events)
{
    const auto timeOf = [](const EventLine& event) {
        return hybridTimeFromText(event.value("hybrid", "0.0")).value_or(HybridTime {});
    };
    std::stable_sort(events.begin(), events.end(), [&](const auto& a, const auto& b) { return timeOf(a) < timeOf(b); });
    std::string text;
    for (const auto& event : events)
        text += event.dump() + "\n";
    return text;
}

std::string table(const std::vector<PromiseCount>& promises)
{
    std::ostringstream text;
    for (const auto& it : promises) {
        const std::string broken = it.broken ? std::to_string(*it.broken) : "not exercised";
        text << std::left << std::setw(74) << it.promise << " broken: " << std::setw(14) << broken << it.detail << '\n';
    }
    return text.str();
}

}
