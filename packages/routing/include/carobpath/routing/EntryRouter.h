#pragma once

#include "carobpath/capacity/InnerCalls.h"
#include "carobpath/membership/AnswerTime.h"
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
#include <string_view>
#include <vector>

namespace carobpath::routing {

/// Provides the current split of a service's calls between its versions.
using TrafficSplitSource = std::function<moves::TrafficSplit(const ServiceName&)>;

/// \returns how long a request with this fingerprint is to be refused; empty if it may run.
using QuarantineSource
    = std::function<std::optional<std::chrono::milliseconds>(std::uint64_t fingerprint, MonotonicTime now)>;

/// Policy of the entry node for the choice of upstreams and for calls that fail.
struct EntryPolicy {
    RetryAllowance retries;
    /// Offers of calls to further nodes after one refused them for load. If most nodes are full, each offer costs two
    /// nodes processor time and few are accepted, so that without a limit a small instance fails under them.
    RetryAllowance offers { .perCall = 1.5, .perSecond = 5, .capacity = 20 };
    /// Whether a repeatable call is cancelled after half of its time to allow a retry, if its upstream is
    /// unresponsive.
    bool splitDeadline = true;
    /// Whether the upstreams of the local failure domain receive every call that they can answer within the objective,
    /// and remote ones only calls that the local ones refuse. This reduces traffic between failure domains, and it
    /// suits a load that only some of the domains can carry. Where calls take longer than in the other domains, a part of
    /// them is sent there first, see \c DomainBalance.
    bool localDomainFirst = false;
    /// Maximum number of candidate nodes to which one call is offered.
    std::uint32_t maxCandidates = 4;
    /// Maximum number of local candidate nodes among them. Without this limit, a large failure domain at capacity
    /// would use up all offers of a call and leave none for remote nodes.
    std::uint32_t maxLocalCandidates = 3;
    /// The same while less than half of the offers are left, so that the last ones go where nodes may be less busy.
    std::uint32_t maxLocalCandidatesWhenBusy = 1;
    PickPolicy picks;
    /// Whether calls are refused at the entry node while the upstreams of their service refuse most.
    bool throttlesCalls = false;
};

/// Makes the routing decisions of an entry node. It creates a \c CallDecision for each call and holds the state that
/// calls share: the route table, the upstreams with their statistics, and the retry budget.
class EntryRouter {
public:
    explicit EntryRouter(std::mt19937_64 random);
    ~EntryRouter();
    EntryRouter(const EntryRouter&) = delete;
    EntryRouter& operator=(const EntryRouter&) = delete;

    void setLocalNode(NodeName, FailureDomainName);
    void setConfiguration(publication::ConfigurationPointer);
    void setMembership(std::shared_ptr<const membership::MembershipView>);
    /// Without a source, the current version of each service receives all calls.
    void setTrafficSplitSource(TrafficSplitSource);
    void setQuarantineSource(QuarantineSource);
    /// Without it, no call is taken for an inner one. It takes effect while a configuration has workspaces.
    void setInnerCalls(std::shared_ptr<capacity::InnerCalls>);
    void setPolicy(const EntryPolicy&);
    /// A node that is not ready refuses every call as \c NotReady.
    void setReady(bool);
    /// The node is stopping: answers must have ended by then. Calls that are expected to take longer are refused as
    /// \c Draining before they are sent to a node, and no attempt is granted more time.
    void setDrainDeadline(MonotonicTime);

    std::shared_ptr<CallDecision> begin(const CallRequest&, MonotonicTime arrivedAt);

    /// \returns whether a call may run more than once and beside others. True also for one that no route matches, since
    /// it does not run.
    bool isRepeatable(std::string_view host, std::string_view method, std::string_view path) const;

    /// \returns whether callers need an API key.
    bool needsKeys() const;

    /// \returns how long this node's calls took lately at the upstreams of its own failure domain, for each service that it called.
    std::vector<membership::AnswerTime> localTimes(MonotonicTime now) const;
    /// A node of another failure domain told the same of its calls.
    void onRemoteTimes(const std::vector<membership::AnswerTime>&, MonotonicTime now);

    /// \returns the observations of other nodes since the last call of this function; the oldest are dropped if there
    /// are too many.
    std::vector<NodeObservation> takeObservations();

private:
    std::shared_ptr<EntryState> m_state;
};

}
