#include "EntryState.h"

namespace carobpath::routing {

moves::VersionShare EntryState::shareOf(const ServiceName& service) const
{
    const auto& set = table->configuration()->set;
    moves::VersionShare share;
    if (shareSource)
        share = shareSource(service);
    else if (const auto it = set.services.find(service); it != set.services.end())
        share.current = it->second.currentVersion;
    if (share.next && !set.versions.contains(*share.next))
        share.next.reset();
    return share;
}

void EntryState::observe(NodeObservation it)
{
    if (observations.size() == s_maxObservations)
        observations.pop_front();
    observations.push_back(std::move(it));
}

std::chrono::milliseconds EntryState::spread(std::chrono::milliseconds time)
{
    const double factor = 1 + picker.drawUnit() / 2;
    return std::chrono::duration_cast<std::chrono::milliseconds>(time * factor);
}

}
