#include "carobpath/routing/IntentKey.h"

#include "carobpath/foundation/Digest.h"
#include "carobpath/foundation/RendezvousHash.h"

namespace carobpath::routing {

namespace {

    constexpr std::size_t keyDigits = 32;

}

IntentKey intentKeyOf(const RouteName& route, const IdempotencyKey& key)
{
    // A route name cannot contain the separator, so that different pairs never give the same text.
    const auto digest = digestOf(route.value() + '\0' + key.value());
    return IntentKey { toHex(digest).substr(0, keyDigits) };
}

Partition partitionOf(const IntentKey& key)
{
    constexpr std::size_t digits = 4;
    constexpr unsigned base = 16;
    Partition value = 0;
    for (std::size_t i = 0; i < digits && i < key.value().size(); ++i) {
        const char digit = key.value()[i];
        value = value * base + static_cast<Partition>(digit <= '9' ? digit - '0' : digit - 'a' + 10);
    }
    return value % partitionCount;
}

std::string intentStream(Partition it) { return "intents-" + std::to_string(it); }

std::optional<NodeName> intentOwner(Partition partition, const membership::MembershipView& view)
{
    const auto stream = intentStream(partition);
    std::optional<NodeName> owner;
    std::uint64_t best = 0;
    for (const auto& known : view.nodes) {
        if (known.liveness != membership::Liveness::Alive || known.entry.leaving)
            continue;
        const auto score = rendezvousScore(stream, known.entry.name.value());
        if (owner && score <= best)
            continue;
        owner = known.entry.name;
        best = score;
    }
    return owner;
}

}
