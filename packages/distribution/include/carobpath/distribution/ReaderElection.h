#pragma once

#include "carobpath/membership/NodeEntry.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace carobpath::distribution {

/// Number of nodes of each failure domain that read the log.
inline constexpr std::size_t logReadersPerDomain = 3;

/// \returns the nodes of a failure domain that are neither dead nor leaving, ordered by rendezvous hash. The first
/// \c logReadersPerDomain are the log readers. The pointers refer to elements of the view.
std::vector<const membership::KnownNode*> rankedNodes(const membership::MembershipView&, const FailureDomainName&);

/// \returns the position of the node among the ranked nodes of its failure domain; empty if it is not among them.
std::optional<std::size_t> rankOf(const membership::MembershipView&, const NodeName&, const FailureDomainName&);

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

/// \returns whether the node waits for new records at the store. One that is not ranked does, since it is in no relay tree and peers
/// push nothing to it.
bool isPollingNode(const membership::MembershipView&, const NodeName&, const FailureDomainName&, const StoreLoad&);

/// \returns the log readers of all failure domains, ordered by their rank in their domain, so that those next to each other
/// are in different domains.
std::vector<const membership::KnownNode*> logReaders(const membership::MembershipView&);

}
