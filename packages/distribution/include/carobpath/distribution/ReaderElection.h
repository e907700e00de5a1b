#pragma once

#include "carobpath/membership/NodeEntry.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace carobpath::distribution {

/// Number of nodes of each failure domain that read the log.
inline constexpr std::size_t logReadersPerDomain = 3;

/// \returns the nodes of a failure domain that are neither dead nor leaving, ordered by rendezvous hash. The first
/// \c logReadersPerDomain are the log readers. The pointers refer to elements of the view.
std::vector<const membership::KnownNode*> rankedNodes(const membership::MembershipView&, const FailureDomainName&);

/// \returns whether the node is among so many first ones of its failure domain. A node that leaves is not.
bool isAmongFirst(const membership::MembershipView&, const NodeName&, const FailureDomainName&, std::size_t count);

/// \returns whether the node is one of the log readers of its failure domain.
bool isLogReader(const membership::MembershipView&, const NodeName&, const FailureDomainName&);

/// Time within which the store answers all polls that a new record ends.
inline constexpr std::chrono::milliseconds pollAnswerTime { 150 };

/// What a new record costs the store.
struct StoreLoad {
    /// What the store sends to all nodes together; 0 if that is not known.
    double bytesPerSecond = 0;
    std::size_t recordBytes = 0;
};

/// \returns the number of nodes of each failure domain that may wait for new records at the store, so that it answers them within
/// \c pollAnswerTime; at least \c logReadersPerDomain. The others are told by their peers.
std::size_t pollingNodesPerDomain(const membership::MembershipView&, const StoreLoad&);

/// \returns the log readers of all failure domains, ordered by their rank in their domain, so that those next to each other
/// are in different domains.
std::vector<const membership::KnownNode*> logReaders(const membership::MembershipView&);

}
