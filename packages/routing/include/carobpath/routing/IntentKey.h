#pragma once

#include "carobpath/foundation/Identifier.h"
#include "carobpath/membership/NodeEntry.h"

#include <cstdint>
#include <optional>
#include <string>

namespace carobpath::routing {

/// An idempotency key together with its route, as 32 hexadecimal digits: of one size whatever the caller sent.
using IntentKey = Identifier<struct IntentKeyTag>;

/// One of the streams that the keys are spread over.
using Partition = std::uint32_t;

inline constexpr Partition partitionCount = 64;

IntentKey intentKeyOf(const RouteName&, const IdempotencyKey&);

Partition partitionOf(const IntentKey&);

/// \returns the stream of the partition in the platform's log, such as "intents-17".
std::string intentStream(Partition);

/// \returns the node that decides the partition's keys, by rendezvous rank among live nodes that are not leaving;
/// nothing where there is none. Nodes with other views may name another owner: that costs refusals, no safety.
std::optional<NodeName> intentOwner(Partition, const membership::MembershipView&);

}
