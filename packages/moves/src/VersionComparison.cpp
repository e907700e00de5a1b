#include "carobpath/moves/VersionComparison.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace carobpath::moves {

namespace {

    /// Minimum number of failed calls for a finding.
    constexpr std::uint64_t minFailures = 4;
    /// Minimum difference of the failure rates. Nested calls that fail under load raise both rates alike.
    constexpr double minFailureGap = 0.15;
    /// Minimum difference of the failure rates in standard deviations of the old rate over the same number of calls.
    constexpr double deviations = 3;
    /// Minimum failure rate assumed for the old version, so that a few calls without a failure do not prove a rate of 0.
    constexpr double minOldRate = 0.02;
    /// Minimum number of refused calls that mask faults of the new version.
    constexpr std::uint64_t minRefused = 4;
    /// Minimum fraction of refused calls that mask faults of the new version.
    constexpr double maskingFraction = 0.15;
    /// Minimum number of timed calls of each version for a comparison of latencies.
    constexpr std::uint64_t minTimedCalls = 8;
    /// Number of latency classes by which the median of the new version must exceed the old one's. Each class bound is twice
    /// the previous one.
    constexpr std::size_t slowClasses = 2;
    /// Minimum number of calls for an instance to be considered.
    constexpr std::uint64_t minInstanceCalls = 2;
    /// Number of affected instances required for a finding if the new version has that many.
    constexpr std::size_t requiredInstances = 2;
    /// Number of calls on unaffected instances from which one affected instance is no longer enough for a finding.
    constexpr std::uint64_t minClearingCalls = 20;

    std::uint64_t timedCalls(const EvidenceCounts& counts)
    {
        return std::accumulate(counts.latency.begin(), counts.latency.end(), std::uint64_t { 0 });
    }

    std::size_t medianClass(const EvidenceCounts& counts)
    {
        const auto half = (timedCalls(counts) + 1) / 2;
        std::uint64_t below = 0;
        for (std::size_t i = 0; i < latencyClasses; ++i) {
            below += counts.latency[i];
            if (below >= half && below > 0)
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

    /// \returns whether the required number of instances is affected, or all if there are fewer. One is enough while the
    /// others had few calls, since a version that fails under load fails only on the loaded instance.
    template <typename IsAffected>
    bool affectsEnoughInstances(const CountsByObserver& byObserver, IsAffected isAffected)
    {
        std::size_t instances = 0;
        std::size_t affected = 0;
        std::uint64_t unaffectedCalls = 0;
        for (const auto& [observer, counts] : byObserver) {
            if (counts.answered() < minInstanceCalls)
                continue;
            ++instances;
            const bool hasFault = isAffected(counts);
            affected += hasFault ? 1 : 0;
            unaffectedCalls += hasFault ? 0 : counts.answered();
        }
        const auto required = unaffectedCalls < minClearingCalls ? 1 : std::min(instances, requiredInstances);
        return affected >= std::max<std::size_t>(1, required);
    }

    bool isFailing(const EvidenceCounts& old, const EvidenceCounts& sum, const CountsByObserver& byObserver)
    {
        if (sum.failed < minFailures)
            return false;
        const double oldRate = std::max(failureRate(old), minOldRate);
        const double deviation = std::sqrt(oldRate * (1 - oldRate) / static_cast<double>(sum.answered()));
        const double toleratedRate = oldRate + std::max(minFailureGap, deviations * deviation);
        if (failureRate(sum) < toleratedRate)
            return false;
        return affectsEnoughInstances(byObserver, [&](const EvidenceCounts& it) { return failureRate(it) >= (oldRate + toleratedRate) / 2 && it.failed > 0; });
    }

    bool isSlow(const EvidenceCounts& old, const EvidenceCounts& sum, const CountsByObserver& byObserver)
    {
        if (timedCalls(sum) < minTimedCalls || timedCalls(old) < minTimedCalls)
            return false;
        const auto bound = medianClass(old) + slowClasses;
        if (medianClass(sum) < bound)
            return false;
        return affectsEnoughInstances(byObserver, [&](const EvidenceCounts& it) { return medianClass(it) >= bound; });
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
    m_routes[growth.route].newByObserver[growth.observer] += growth.counts;
    m_all.newByObserver[growth.observer] += growth.counts;
    m_newCalls += growth.counts.answered();
    m_newRefused += growth.counts.refused;
}

bool VersionComparison::isMasked() const
{
    const auto all = m_newCalls + m_newRefused;
    return m_newRefused >= minRefused && static_cast<double>(m_newRefused) >= maskingFraction * static_cast<double>(all);
}

std::optional<VersionFinding> VersionComparison::findingOf(const RouteName& route, const RouteCounts& counts)
{
    const auto sum = sumOf(counts.newByObserver);
    if (isFailing(counts.old, sum, counts.newByObserver))
        return VersionFinding { publication::MoveReason::ErrorRate, route, figures(counts.old, sum) };
    if (isSlow(counts.old, sum, counts.newByObserver))
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
