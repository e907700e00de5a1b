#include "CrashAttribution.h"

#include <algorithm>
#include <map>

namespace carobpath::routing {

namespace {

    /// Sum of the parts of crashes that must be attributed to a request for it to be a culprit.
    constexpr double minExplainedCrashes = 2;
    /// Tolerance for rounding errors in that sum.
    constexpr double roundingTolerance = 1e-9;

    std::map<Fingerprint, std::size_t> countCrashes(const std::vector<CrashSuspects>& crashes)
    {
        std::map<Fingerprint, std::size_t> counts;
        for (const auto& suspects : crashes) {
            for (const auto it : suspects)
                ++counts[it];
        }
        return counts;
    }

    std::map<Fingerprint, double> attributeCrashes(const std::vector<CrashSuspects>& crashes)
    {
        const auto counts = countCrashes(crashes);
        std::map<Fingerprint, double> attributions;
        for (const auto& suspects : crashes) {
            std::size_t maxCount = 0;
            for (const auto it : suspects)
                maxCount = std::max(maxCount, counts.at(it));
            const auto isMainSuspect = [&](Fingerprint it) { return counts.at(it) == maxCount; };
            const auto mainSuspects = std::count_if(suspects.begin(), suspects.end(), isMainSuspect);
            for (const auto it : suspects) {
                if (isMainSuspect(it))
                    attributions[it] += 1.0 / static_cast<double>(mainSuspects);
            }
        }
        return attributions;
    }

    /// Removes the crashes that the culprit explains.
    /// \returns whether there were any.
    bool removeExplained(std::vector<CrashSuspects>& crashes, Fingerprint culprit)
    {
        return std::erase_if(crashes, [culprit](const CrashSuspects& it) { return it.contains(culprit); }) > 0;
    }

}

std::set<Fingerprint> findCulprits(std::vector<CrashSuspects> crashes, const std::set<Fingerprint>& known)
{
    std::set<Fingerprint> culprits;
    for (const auto it : known) {
        if (removeExplained(crashes, it))
            culprits.insert(it);
    }
    while (true) {
        const auto attributions = attributeCrashes(crashes);
        const auto strongest = std::max_element(
            attributions.begin(), attributions.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        if (strongest == attributions.end() || strongest->second < minExplainedCrashes - roundingTolerance)
            return culprits;
        culprits.insert(strongest->first);
        removeExplained(crashes, strongest->first);
    }
}

}
