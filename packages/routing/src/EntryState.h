#pragma once

#include "carobpath/routing/EntryRouter.h"
#include "carobpath/routing/RetryBudget.h"
#include "carobpath/routing/RouteTable.h"
#include "carobpath/routing/UpstreamPicker.h"
#include "carobpath/routing/WeightedRoundRobin.h"

#include <deque>

namespace carobpath::routing {

/// What all calls of an entry node share. Kept alive by the router and by each running call.
class EntryState {
public:
    /// Observations of nodes that are kept until they are taken.
    static constexpr std::size_t s_maxObservations = 256;

    explicit EntryState(std::mt19937_64 random)
        : picker(random)
    {
    }

    /// \returns the split of the service's calls, without versions that the configuration lacks.
    moves::TrafficSplit trafficSplitOf(const ServiceName&) const;
    /// \returns the service that takes the next call of the route.
    ServiceName destinationOf(const publication::Route&);
    RetryBudget& budgetOf(const ServiceName&);
    void setPolicy(const EntryPolicy&);
    void observe(NodeObservation);
    /// \returns the time spread by up to a half, so that callers told at one moment do not come back at one moment.
    std::chrono::milliseconds spread(std::chrono::milliseconds);

    UpstreamPicker picker;
    EntryPolicy policy;
    std::unordered_map<ServiceName, RetryBudget> budgets;
    std::unordered_map<RouteName, WeightedRoundRobin> turns;
    std::shared_ptr<const RouteTable> table = std::make_shared<RouteTable>();
    TrafficSplitSource trafficSplitSource;
    QuarantineSource quarantineSource;
    bool ready = false;
    std::deque<NodeObservation> observations;
};

}
