#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/foundation/Incarnation.h"
#include "carobpath/publication/ConfigurationSet.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

namespace carobpath::moves {

/// Number of latency classes; the last class has no upper bound.
inline constexpr std::size_t latencyClasses = 16;

/// Upper bound of one latency class: 1 ms doubled for each class after the first.
constexpr std::chrono::microseconds latencyClassBound(std::size_t index)
{
    return std::chrono::microseconds { 1000 } * (1LL << index);
}

/// Counts of one route and version. They never decrease within an incarnation of the observing node.
struct EvidenceCounts {
    std::uint64_t succeeded = 0;
    /// Errors of the backend server: 5xx, connections lost or refused, time-outs.
    std::uint64_t failed = 0;
    /// Overload refusals of the backend server, which indicate load rather than a regression.
    std::uint64_t refused = 0;
    std::array<std::uint64_t, latencyClasses> latency {};

    /// \returns the calls that succeeded or failed, including those that failed without an answer.
    std::uint64_t answered() const { return succeeded + failed; }
    EvidenceCounts& operator+=(const EvidenceCounts& other)
    {
        succeeded += other.succeeded;
        failed += other.failed;
        refused += other.refused;
        for (std::size_t i = 0; i < latencyClasses; ++i)
            latency[i] += other.latency[i];
        return *this;
    }
    /// \returns the growth since earlier counts of the same incarnation; 0 for counts that did not grow.
    EvidenceCounts since(const EvidenceCounts& earlier) const
    {
        EvidenceCounts it;
        it.succeeded = growth(succeeded, earlier.succeeded);
        it.failed = growth(failed, earlier.failed);
        it.refused = growth(refused, earlier.refused);
        for (std::size_t i = 0; i < latencyClasses; ++i)
            it.latency[i] = growth(latency[i], earlier.latency[i]);
        return it;
    }

    friend bool operator==(const EvidenceCounts&, const EvidenceCounts&) = default;

private:
    static constexpr std::uint64_t growth(std::uint64_t later, std::uint64_t earlier) { return later > earlier ? later - earlier : 0; }
};

/// Evidence of one admitting node on one route and version of a move, as gossiped between nodes.
struct EvidenceEntry {
    NodeName observer;
    Revision revision;
    MoveName move;
    /// Distinguishes the move from earlier moves of the same name.
    publication::Offset movePublishedAt = 0;
    RouteName route;
    VersionName version;
    /// Evidence window of the move's plan in which the calls ended; see \c MovePlan.
    std::uint32_t window = 0;
    EvidenceCounts counts;

    friend bool operator==(const EvidenceEntry&, const EvidenceEntry&) = default;
};

/// A node's finding that a move must be taken back. It is broadcast at once and never withdrawn.
struct TakeBackNotice {
    MoveName move;
    publication::Offset movePublishedAt = 0;
    NodeName observer;
    publication::MoveVerdict verdict;

    friend bool operator==(const TakeBackNotice&, const TakeBackNotice&) = default;
};

/// Evidence and findings in one gossip message.
struct EvidenceUpdate {
    std::vector<EvidenceEntry> entries;
    std::vector<TakeBackNotice> notices;
};

/// \returns the index of the latency class that contains the duration.
std::size_t latencyClassOf(std::chrono::nanoseconds latency);

}
