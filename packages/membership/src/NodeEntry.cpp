#include "carobpath/membership/NodeEntry.h"

#include "carobpath/foundation/EnumTable.h"

#include <algorithm>
#include <cmath>

namespace carobpath::membership {

namespace {

    /// Part of a rate by which it has to change for peers to be told at once.
    constexpr double significantRateChange = 0.2;

    constexpr std::array<EnumRow<UpstreamState>, 4> upstreamStates { {
        { UpstreamState::Cold, "cold" },
        { UpstreamState::Ready, "ready" },
        { UpstreamState::Draining, "draining" },
        { UpstreamState::Down, "down" },
    } };

    constexpr std::array<EnumRow<Liveness>, 3> livenesses { {
        { Liveness::Alive, "alive" },
        { Liveness::Suspect, "suspect" },
        { Liveness::Dead, "dead" },
    } };

}

bool rateChanged(const std::optional<double>& before, const std::optional<double>& now)
{
    if (!before || !now)
        return before.has_value() != now.has_value();
    const double difference = std::abs(*now - *before);
    return difference > significantRateChange * std::max(*before, *now);
}

bool routingChanged(const std::optional<Upstream>& before, const std::optional<Upstream>& now)
{
    if (!before || !now)
        return before.has_value() != now.has_value();
    return before->service != now->service || before->version != now->version || before->state != now->state
        || rateChanged(before->callsPerSecond, now->callsPerSecond);
}

std::string_view toString(UpstreamState it) { return enumText(upstreamStates, it); }
std::optional<UpstreamState> upstreamStateFromString(std::string_view text) { return enumValue(upstreamStates, text); }
std::string_view toString(Liveness it) { return enumText(livenesses, it); }

}
