#pragma once

#include "carobpath/membership/NodeEntry.h"
#include "carobpath/moves/TrafficSplit.h"
#include "carobpath/routing/Call.h"
#include "carobpath/routing/CallDecision.h"
#include "carobpath/routing/NodeObservation.h"
#include "carobpath/routing/RetryBudget.h"

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace carobpath::routing {

/// Gives the split of a service's calls between its versions at this moment.
using TrafficSplitSource = std::function<moves::TrafficSplit(const ServiceName&)>;

/// Says for how long a request with the fingerprint is to be refused; nothing where it is not.
using QuarantineSource
    = std::function<std::optional<std::chrono::milliseconds>(std::uint64_t fingerprint, MonotonicTime now)>;

/// How the entry node deals with calls that go wrong.
struct EntryPolicy {
    RetryAllowance retries;
    /// Whether a call that may be repeated is cut at half of its time, for a second try, where its upstream is silent.
    bool splitDeadline = true;
    /// Whether an upstream of this node's own failure domain takes each call that it can answer within the objective,
    /// others only what it refuses. Spares the links between domains, and answers loads that some domains bear and others not.
    bool localDomainFirst = false;
    /// Places that one call is offered to at most.
    std::uint32_t maxCandidates = 4;
    /// Places of the own failure domain among them: a large domain that is full must leave some for the others.
    std::uint32_t maxLocalCandidates = 3;
};

/// The entry decision of a node: makes a \c CallDecision for each call and holds what the calls share, which are the
/// route table, the upstreams and what calls showed of them, and the retry budget.
class EntryRouter {
public:
    explicit EntryRouter(std::mt19937_64 random);
    ~EntryRouter();
    EntryRouter(const EntryRouter&) = delete;
    EntryRouter& operator=(const EntryRouter&) = delete;

    void setLocalNode(NodeName, FailureDomainName);
    void setConfiguration(publication::ConfigurationPointer);
    void setMembership(std::shared_ptr<const membership::MembershipView>);
    /// Without a source each service's current version gets all calls.
    void setTrafficSplitSource(TrafficSplitSource);
    void setQuarantineSource(QuarantineSource);
    void setPolicy(const EntryPolicy&);
    /// A node that is not ready refuses each call as \c NotReady.
    void setReady(bool);

    std::shared_ptr<CallDecision> begin(const CallRequest&, MonotonicTime now);

    /// \returns what calls showed of other nodes since the last time; the oldest are dropped beyond a bound.
    std::vector<NodeObservation> takeObservations();

private:
    std::shared_ptr<EntryState> m_state;
};

}
