#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/membership/NodeEntry.h"

#include <cstdint>
#include <optional>
#include <string>

namespace carobpath::routing {

/// Hash of an idempotency key and its route, as 32 hexadecimal digits: of fixed size whatever the caller sent.
using IntentKey = Identifier<struct IntentKeyTag>;

/// Number of one of the log streams that the keys are distributed over.
using Partition = std::uint32_t;

inline constexpr Partition partitionCount = 64;

IntentKey intentKeyOf(const RouteName&, const IdempotencyKey&);

Partition partitionOf(const IntentKey&);

/// \returns the name of the partition's stream in the platform's log, such as "intents-17".
std::string intentStream(Partition);

/// \returns the node that decides the claims on the partition's keys, by rendezvous hashing among live nodes that are
/// not leaving; empty if there is none. Nodes with different membership views may choose different owners, which
/// causes refusals but does not affect safety.
std::optional<NodeName> intentOwner(Partition, const membership::MembershipView&);

}
