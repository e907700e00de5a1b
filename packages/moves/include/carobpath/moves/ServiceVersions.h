#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/moves/OrderedMoveState.h"

#include <cstddef>
#include <vector>

namespace carobpath::moves {

/// What the moves of a service have shown of its versions when the next move is ordered. It outlasts the moves, since
/// instances of a version may live on after the version was rejected.
struct ServiceVersions {
    /// Maximum number of rejected versions that are remembered; the oldest are forgotten first.
    static constexpr std::size_t s_maxRejected = 16;

    /// Versions in service when the move was ordered, as far as they are known.
    std::vector<VersionName> serving;
    /// Versions whose moves were taken back or replaced before they were done, and that were not ordered again since.
    std::vector<VersionName> rejected;

    bool isRejected(const VersionName&) const;
    /// \returns whether the version alone is in service, so that a move to it has no other version to take calls from.
    bool isOnlyServing(const VersionName&) const;
    bool isEmpty() const { return serving.empty() && rejected.empty(); }

    void addServing(const VersionName&);
    /// Takes a version that is ordered again from the rejected ones.
    void readmit(const VersionName&);

    /// \returns what is known once a move to the version, ordered while this was known, is replaced in the given state.
    ServiceVersions afterMove(const VersionName& to, OrderedMoveState) const;

    friend bool operator==(const ServiceVersions&, const ServiceVersions&) = default;
};

}
