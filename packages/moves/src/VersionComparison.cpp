#include "carobpath/moves/VersionComparison.h"

#include <algorithm>
#include <numeric>

namespace carobpath::moves {

namespace {

    /// Failed calls that a finding needs at least.
    constexpr std::uint64_t fewestFailures = 4;
    /// The new version's rate of failures must pass this, and the old one's by the factor.
    constexpr double smallestFailureRate = 0.15;
    constexpr double failureFactor = 2.5;
    constexpr std::uint64_t fewestTimed = 8;
    /// Latency classes, each twice the one before, by which the median of the new version must be above the old one's.
    constexpr std::size_t slowClasses = 2;
    /// Calls of one instance that say something of it.
    constexpr std::uint64_t fewestOfInstance = 2;
    constexpr std::size_t instancesWanted = 2;

    std::uint64_t timed(const EvidenceCounts& counts)
    {
        return std::accumulate(counts.latency.begin(), counts.latency.end(), std::uint64_t { 0 });
    }

    std::size_t medianClass(const EvidenceCounts& counts)
    {
        const auto half = (timed(counts) + 1) / 2;
        std::uint64_t seen = 0;
        for (std::size_t i = 0; i < latencyClasses; ++i) {
            seen += counts.latency[i];
            if (seen >= half && seen > 0)
                return i;
        }
        return 0;
    }

    EvidenceCounts sumOf(const CountsByObserver& byObserver)
    {
        EvidenceCounts sum;
        for (const auto& [observer, counts] : byObserver)
            sum += counts;
        return sum;
    }

    double failureRate(const EvidenceCounts& counts)
    {
        return counts.answered() > 0 ? static_cast<double>(counts.failed) / static_cast<double>(counts.answered()) : 0;
    }

    /// \returns whether as many instances show the fault as are wanted, or all where there are fewer.
    template <typename Shows>
    bool enoughShow(const CountsByObserver& byObserver, Shows shows)
    {
        std::size_t heard = 0;
        std::size_t showing = 0;
        for (const auto& [observer, counts] : byObserver) {
            if (counts.answered() < fewestOfInstance)
                continue;
            ++heard;
            showing += shows(counts) ? 1 : 0;
        }
        return showing >= std::max<std::size_t>(1, std::min(heard, instancesWanted));
    }

    bool isFailing(const EvidenceCounts& old, const EvidenceCounts& sum, const CountsByObserver& byObserver)
    {
        const double tolerated = smallestFailureRate + failureFactor * failureRate(old);
        if (sum.failed < fewestFailures || failureRate(sum) < tolerated)
            return false;
        return enoughShow(byObserver, [&](const EvidenceCounts& it) { return failureRate(it) >= tolerated / 2 && it.failed > 0; });
    }

    bool isSlow(const EvidenceCounts& old, const EvidenceCounts& sum, const CountsByObserver& byObserver)
    {
        if (timed(sum) < fewestTimed || timed(old) < fewestTimed)
            return false;
        const auto bound = medianClass(old) + slowClasses;
        if (medianClass(sum) < bound)
            return false;
        return enoughShow(byObserver, [&](const EvidenceCounts& it) { return medianClass(it) >= bound; });
    }

    std::string figures(const EvidenceCounts& old, const EvidenceCounts& sum)
    {
        return std::to_string(sum.failed) + " of " + std::to_string(sum.answered()) + " failed, before "
            + std::to_string(old.failed) + " of " + std::to_string(old.answered()) + "; median latency class "
            + std::to_string(medianClass(sum)) + ", before " + std::to_string(medianClass(old));
    }

}

void VersionComparison::addOld(const EvidenceGrowth& growth)
{
    m_routes[growth.route].old += growth.counts;
    m_all.old += growth.counts;
    m_oldCalls += growth.counts.answered();
}

void VersionComparison::addNew(const EvidenceGrowth& growth)
{
    m_routes[growth.route].fresh[growth.observer] += growth.counts;
    m_all.fresh[growth.observer] += growth.counts;
    m_newCalls += growth.counts.answered();
}

std::optional<VersionFinding> VersionComparison::findingOf(const RouteName& route, const RouteCounts& counts)
{
    const auto sum = sumOf(counts.fresh);
    if (isFailing(counts.old, sum, counts.fresh))
        return VersionFinding { publication::MoveReason::ErrorRate, route, figures(counts.old, sum) };
    if (isSlow(counts.old, sum, counts.fresh))
        return VersionFinding { publication::MoveReason::Latency, route, figures(counts.old, sum) };
    return std::nullopt;
}

std::optional<VersionFinding> VersionComparison::finding() const
{
    if (auto found = findingOf(RouteName {}, m_all))
        return found;
    for (const auto& [route, counts] : m_routes) {
        if (auto found = findingOf(route, counts))
            return found;
    }
    return std::nullopt;
}

}
