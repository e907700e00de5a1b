#pragma once

#include "carobpath/routing/AnswerTimes.h"
#include "carobpath/routing/CallThrottle.h"
#include "carobpath/routing/CallerTimeouts.h"
#include "carobpath/routing/DomainBalance.h"
#include "carobpath/routing/EntryRouter.h"
#include "carobpath/routing/RetryBudget.h"
#include "carobpath/routing/RouteTable.h"
#include "carobpath/routing/RunningBodies.h"
#include "carobpath/routing/UpstreamPicker.h"
#include "carobpath/routing/WeightedRoundRobin.h"

#include <deque>

namespace carobpath::routing {

/// State shared by all calls of an entry node. The router and every running call keep it alive.
class EntryState {
public:
    /// Maximum number of observations stored until they are taken.
    static constexpr std::size_t s_maxObservations = 256;

    explicit EntryState(std::mt19937_64 random)
        : picker(random)
    {
    }

    /// \returns the traffic split of the service, without versions that are missing in the configuration.
    moves::TrafficSplit trafficSplitOf(const ServiceName&) const;
    /// \returns the service that receives the next call of the route.
    ServiceName destinationOf(const publication::Route&);
    RetryBudget& budgetOf(const ServiceName&);
    RetryBudget& offerBudgetOf(const ServiceName&);
    CallThrottle& throttleOf(const ServiceName&);
    /// \returns the maximum number of local nodes that a call of the service is offered to.
    std::uint32_t maxLocalCandidates(const ServiceName&);
    void setPolicy(const EntryPolicy&);
    void observe(NodeObservation);
    /// \returns the time extended by a random amount of up to half, so that callers refused at the same moment do not
    /// all return at once.
    std::chrono::milliseconds spread(std::chrono::milliseconds);

    UpstreamPicker picker;
    EntryPolicy policy;
    std::unordered_map<ServiceName, RetryBudget> budgets;
    std::unordered_map<ServiceName, RetryBudget> offerBudgets;
    std::unordered_map<ServiceName, CallThrottle> throttles;
    std::unordered_map<ServiceName, DomainBalance> balances;
    std::unordered_map<RouteName, WeightedRoundRobin> roundRobins;
    std::shared_ptr<const RouteTable> table = std::make_shared<RouteTable>();
    /// Null unless inner calls are to be told from others.
    std::shared_ptr<capacity::InnerCalls> innerCalls;
    TrafficSplitSource trafficSplitSource;
    QuarantineSource quarantineSource;
    bool ready = false;
    /// Times of the routes that have been used.
    std::unordered_map<RouteName, AnswerTimes> answerTimes;
    /// Of the routes that have been used.
    std::unordered_map<RouteName, CallerTimeouts> callerTimeouts;
    RunningBodies runningBodies;
    /// When answers must have ended; empty unless the node is stopping.
    std::optional<MonotonicTime> drainDeadline;
    std::deque<NodeObservation> observations;
};

}
