#include "CrashAttribution.h"

#include <algorithm>
#include <map>

namespace carobpath::routing {

namespace {

    /// Crashes that a request must explain alone.
    constexpr double enoughBlame = 2;
    constexpr double rounding = 1e-9;

    std::map<Fingerprint, std::size_t> countCrashes(const std::vector<CrashSuspects>& crashes)
    {
        std::map<Fingerprint, std::size_t> counts;
        for (const auto& suspects : crashes) {
            for (const auto it : suspects)
                ++counts[it];
        }
        return counts;
    }

    std::map<Fingerprint, double> assignBlame(const std::vector<CrashSuspects>& crashes)
    {
        const auto counts = countCrashes(crashes);
        std::map<Fingerprint, double> blame;
        for (const auto& suspects : crashes) {
            std::size_t most = 0;
            for (const auto it : suspects)
                most = std::max(most, counts.at(it));
            const auto isMost = [&](Fingerprint it) { return counts.at(it) == most; };
            const auto sharers = std::count_if(suspects.begin(), suspects.end(), isMost);
            for (const auto it : suspects) {
                if (isMost(it))
                    blame[it] += 1.0 / static_cast<double>(sharers);
            }
        }
        return blame;
    }

    /// Removes the crashes that the request is in; \returns whether there were any.
    bool explain(std::vector<CrashSuspects>& crashes, Fingerprint guilty)
    {
        return std::erase_if(crashes, [guilty](const CrashSuspects& it) { return it.contains(guilty); }) > 0;
    }

}

std::set<Fingerprint> findCulprits(std::vector<CrashSuspects> crashes, const std::set<Fingerprint>& known)
{
    std::set<Fingerprint> guilty;
    for (const auto it : known) {
        if (explain(crashes, it))
            guilty.insert(it);
    }
    while (true) {
        const auto blame = assignBlame(crashes);
        const auto worst = std::max_element(
            blame.begin(), blame.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        if (worst == blame.end() || worst->second < enoughBlame - rounding)
            return guilty;
        guilty.insert(worst->first);
        explain(crashes, worst->first);
    }
}

}
