#pragma once

#include "carobpath/moves/EvidenceTable.h"

#include <map>
#include <optional>

namespace carobpath::moves {

/// Counts of one version by the node that admitted the calls.
using CountsByObserver = std::map<NodeName, EvidenceCounts>;

/// What speaks against the new version.
struct VersionFinding {
    publication::MoveReason reason = publication::MoveReason::None;
    /// Route that shows it; empty where all routes together do.
    RouteName route;
    /// One line of figures.
    std::string evidence;
};

/// Compares a new version with the one before it, by calls of the same seconds, so that a fault which hits both is not
/// taken for badness of the new one. A finding needs two instances of the new version, where it has as many: one instance
/// alone may be slow, overloaded or on its way down.
class VersionComparison {
public:
    void addOld(const EvidenceGrowth&);
    void addNew(const EvidenceGrowth&);

    /// \returns nothing while nothing speaks against the new version.
    std::optional<VersionFinding> finding() const;

    std::uint64_t oldCalls() const { return m_oldCalls; }
    std::uint64_t newCalls() const { return m_newCalls; }
    /// \returns whether the new version's backend servers refused so many of its calls that their load stayed low, and
    /// what fails under load could not show.
    bool isMasked() const;

private:
    struct RouteCounts {
        EvidenceCounts old;
        CountsByObserver fresh;
    };

    static std::optional<VersionFinding> findingOf(const RouteName&, const RouteCounts&);

    std::map<RouteName, RouteCounts> m_routes;
    RouteCounts m_all;
    std::uint64_t m_oldCalls = 0;
    std::uint64_t m_newCalls = 0;
    std::uint64_t m_newRefused = 0;
};

}
