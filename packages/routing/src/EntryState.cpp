#include "EntryState.h"

namespace carobpath::routing {

moves::TrafficSplit EntryState::trafficSplitOf(const ServiceName& service) const
{
    const auto& set = table->configuration()->set;
    moves::TrafficSplit split;
    if (trafficSplitSource)
        split = trafficSplitSource(service);
    else if (const auto it = set.services.find(service); it != set.services.end())
        split.current = it->second.currentVersion;
    // If versions are not published, they are known only from the upstreams.
    const bool versionsArePublished = !split.current.empty();
    if (versionsArePublished && split.next && !set.versions.contains(*split.next))
        split.next.reset();
    return split;
}

ServiceName EntryState::destinationOf(const publication::Route& route)
{
    if (route.destinations.empty())
        return route.service;
    auto& roundRobin = roundRobins[route.name];
    roundRobin.update(route.destinations, picker.drawUnit());
    return roundRobin.next();
}

RetryBudget& EntryState::budgetOf(const ServiceName& service)
{
    return budgets.try_emplace(service, policy.retries).first->second;
}

RetryBudget& EntryState::offerBudgetOf(const ServiceName& service)
{
    return offerBudgets.try_emplace(service, policy.offers).first->second;
}

CallThrottle& EntryState::throttleOf(const ServiceName& service)
{
    auto& throttle = throttles[service];
    throttle.setEarned(CallThrottle::s_bearablePerUpstream * picker.upstreamsPerNode(service));
    return throttle;
}

std::uint32_t EntryState::maxLocalCandidates(const ServiceName& service)
{
    const bool isBusy = offerBudgetOf(service).tokens() < policy.offers.capacity / 2;
    return isBusy ? policy.maxLocalCandidatesWhenBusy : policy.maxLocalCandidates;
}

void EntryState::setPolicy(const EntryPolicy& chosen)
{
    policy = chosen;
    picker.setPolicy(policy.picks);
    for (auto& [service, budget] : budgets)
        budget.setAllowance(policy.retries);
    for (auto& [service, budget] : offerBudgets)
        budget.setAllowance(policy.offers);
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
