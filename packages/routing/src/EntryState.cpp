#include "EntryState.h"

namespace carobpath::routing {

moves::TrafficSplit EntryState::trafficSplitOf(const ServiceName& service) const
{
    const auto& set = table->configuration()->set;
    moves::TrafficSplit share;
    if (trafficSplitSource)
        share = trafficSplitSource(service);
    else if (const auto it = set.services.find(service); it != set.services.end())
        share.current = it->second.currentVersion;
    // Where versions are not published, only the upstreams tell which there are.
    const bool versionsArePublished = !share.current.empty();
    if (versionsArePublished && share.next && !set.versions.contains(*share.next))
        share.next.reset();
    return share;
}

ServiceName EntryState::destinationOf(const publication::Route& route)
{
    if (route.destinations.empty())
        return route.service;
    auto& turn = turns[route.name];
    turn.update(route.destinations, picker.drawUnit());
    return turn.next();
}

RetryBudget& EntryState::budgetOf(const ServiceName& service)
{
    return budgets.try_emplace(service, policy.retries).first->second;
}

void EntryState::setPolicy(const EntryPolicy& chosen)
{
    policy = chosen;
    for (auto& [service, budget] : budgets)
        budget.setAllowance(policy.retries);
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
