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

/// \returns the number of log readers in all failure domains.
std::size_t countLogReaders(const membership::MembershipView&);

}
