#pragma once

#include "carobpath/membership/NodeEntry.h"

#include <cstddef>
#include <vector>

namespace carobpath::distribution {

/// Nodes of each failure domain that read the log.
inline constexpr std::size_t logReadersPerDomain = 3;

/// \returns the nodes of a failure domain that are neither dead nor leaving, by rendezvous rank. The first
/// \c logReadersPerDomain read the log. The pointers point into the view.
std::vector<const membership::KnownNode*> rankedNodes(const membership::MembershipView&, const FailureDomainName&);

/// \returns whether the node is one of the readers of its failure domain.
bool isLogReader(const membership::MembershipView&, const NodeName&, const FailureDomainName&);

}
