#include "carobpath/moves/VersionComparison.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace carobpath::moves {

namespace {

    /// Failed calls that a finding needs at least.
    constexpr std::uint64_t fewestFailures = 4;
    /// The new version's rate of failures must be above the old one's by this, and by three standard deviations of what the
    /// old one's rate gives for as many calls. Inner calls that fail under load raise both rates alike.
    constexpr double smallestFailureGap = 0.15;
    constexpr double deviations = 3;
    /// Rate that the old version is taken to have at least, so that a few calls without a failure prove nothing.
    constexpr double smallestOldRate = 0.02;
    constexpr std::uint64_t fewestRefused = 4;
    constexpr double maskingPart = 0.15;
    constexpr std::uint64_t fewestTimed = 8;
    /// Latency classes, each twice the one before, by which the median of the new version must be above the old one's.
    constexpr std::size_t slowClasses = 2;
    /// Calls of one instance that say something of it.
    constexpr std::uint64_t fewestOfInstance = 2;
    constexpr std::size_t instancesWanted = 2;
    /// Calls of the other instances that clear the version of what one instance shows.
    constexpr std::uint64_t fewestToClear = 20;

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

    /// \returns whether as many instances show the fault as are wanted, or all where there are fewer. One is enough while
    /// the others had few calls: a version that fails under load shows it where the load is.
    template <typename Shows>
    bool enoughShow(const CountsByObserver& byObserver, Shows shows)
    {
        std::size_t heard = 0;
        std::size_t showing = 0;
        std::uint64_t callsOfOthers = 0;
        for (const auto& [observer, counts] : byObserver) {
            if (counts.answered() < fewestOfInstance)
                continue;
            ++heard;
            const bool showsIt = shows(counts);
            showing += showsIt ? 1 : 0;
            callsOfOthers += showsIt ? 0 : counts.answered();
        }
        const auto wanted = callsOfOthers < fewestToClear ? 1 : std::min(heard, instancesWanted);
        return showing >= std::max<std::size_t>(1, wanted);
    }

    bool isFailing(const EvidenceCounts& old, const EvidenceCounts& sum, const CountsByObserver& byObserver)
    {
        if (sum.failed < fewestFailures)
            return false;
        const double oldRate = std::max(failureRate(old), smallestOldRate);
        const double deviation = std::sqrt(oldRate * (1 - oldRate) / static_cast<double>(sum.answered()));
        const double tolerated = oldRate + std::max(smallestFailureGap, deviations * deviation);
        if (failureRate(sum) < tolerated)
            return false;
        return enoughShow(byObserver, [&](const EvidenceCounts& it) { return failureRate(it) >= (oldRate + tolerated) / 2 && it.failed > 0; });
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
    m_newRefused += growth.counts.refused;
}

bool VersionComparison::isMasked() const
{
    const auto all = m_newCalls + m_newRefused;
    return m_newRefused >= fewestRefused && static_cast<double>(m_newRefused) >= maskingPart * static_cast<double>(all);
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
