#pragma once

#include "carobpath/moves/EvidenceTable.h"

#include <map>
#include <optional>

namespace carobpath::moves {

/// Counts of one version for each node that admitted calls.
using CountsByObserver = std::map<NodeName, EvidenceCounts>;

/// A detected regression of the new version.
struct VersionFinding {
    publication::MoveReason reason = publication::MoveReason::None;
    /// Affected route; empty if the regression shows in the sum of all routes.
    RouteName route;
    /// The figures as one line of text.
    std::string evidence;
};

/// Compares a new version with the previous one by concurrent calls, so that a fault which affects both is not taken for
/// a regression of the new one. A finding requires two affected instances of the new version if it has that many, since a
/// single instance may be slow, overloaded or shutting down. One is enough while the others had few calls.
class VersionComparison {
public:
    void addOld(const EvidenceGrowth&);
    void addNew(const EvidenceGrowth&);

    /// \returns the first finding; empty while no regression of the new version is detected.
    std::optional<VersionFinding> finding() const;

    std::uint64_t oldCalls() const { return m_oldCalls; }
    std::uint64_t newCalls() const { return m_newCalls; }
    /// \returns whether the new version's backend servers refused so many of its calls that their load stayed low, which
    /// hides faults that occur under load only.
    bool isMasked() const;

private:
    struct RouteCounts {
        EvidenceCounts old;
        CountsByObserver newByObserver;
    };

    static std::optional<VersionFinding> findingOf(const RouteName&, const RouteCounts&);

    std::map<RouteName, RouteCounts> m_routes;
    RouteCounts m_all;
    std::uint64_t m_oldCalls = 0;
    std::uint64_t m_newCalls = 0;
    std::uint64_t m_newRefused = 0;
};

}
