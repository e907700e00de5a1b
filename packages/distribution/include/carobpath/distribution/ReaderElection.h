#pragma once

#include "carobpath/membership/NodeEntry.h"

#include <cstddef>
#include <vector>

namespace carobpath::distribution {

/// Number of nodes of each failure domain that read the log.
inline constexpr std::size_t logReadersPerDomain = 3;

/// \returns the nodes of a failure domain that are neither dead nor leaving, ordered by rendezvous hash. The first
/// \c logReadersPerDomain are the log readers. The pointers refer to elements of the view.
std::vector<const membership::KnownNode*> rankedNodes(const membership::MembershipView&, const FailureDomainName&);

/// \returns whether the node is one of the log readers of its failure domain.
bool isLogReader(const membership::MembershipView&, const NodeName&, const FailureDomainName&);

/// \returns the log readers of all failure domains, ordered by their rank in their domain, so that those next to each other
/// are in different domains.
std::vector<const membership::KnownNode*> logReaders(const membership::MembershipView&);

}
