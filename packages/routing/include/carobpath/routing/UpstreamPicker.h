#pragma once

#include "carobpath/membership/NodeEntry.h"
#include "carobpath/routing/ChoiceBasis.h"
#include "carobpath/routing/UpstreamStatistics.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carobpath::routing {

/// Selects the versions of a service to which a call may be sent.
class VersionFilter {
public:
    /// Matches only this version.
    VersionFilter(VersionName only)
        : m_names { std::move(only) }
    {
    }
    /// Matches every version except these.
    static VersionFilter allExcept(std::vector<VersionName> names)
    {
        VersionFilter it { VersionName {} };
        it.m_names = std::move(names);
        it.m_excludes = true;
        return it;
    }

    bool matches(const VersionName& version) const
    {
        const bool isNamed = std::find(m_names.begin(), m_names.end(), version) != m_names.end();
        return isNamed != m_excludes;
    }

private:
    std::vector<VersionName> m_names;
    bool m_excludes = false;
};

/// The upstream that was chosen for a call, identified by its node.
struct UpstreamChoice {
    NodeName node;
    VersionName version;
    Endpoint calls;
    bool freshConnection = false;
    /// Calls per second that the backend server takes; empty if no limit is known.
    std::optional<double> callsPerSecond;
    /// Whether the call probes an upstream after its ejection.
    bool probe = false;
    ChoiceBasis basis;
};

/// Failure domains from which a pick may choose upstreams.
enum class DomainScope : std::uint8_t {
    /// All failure domains. The local one is preferred unless an upstream in a remote one is clearly better.
    Any,
    Local,
    Remote,
};

/// Constraints on the choice of an upstream.
struct PickConstraints {
    /// Nodes to which the call was sent before.
    std::span<const NodeName> excluded;
    /// Whether the call may probe an upstream after its ejection. This requires that the call can be sent again if the
    /// probe fails.
    bool mayProbe = false;
    /// Whether an ejected upstream may be chosen if there is no better one.
    bool allowEjected = false;
    DomainScope domainScope = DomainScope::Any;
    /// If not empty, only this node may be chosen.
    NodeName only {};
    /// Rank of the call. Upstreams that recently refused calls of this rank for the rate that they take are not chosen.
    std::uint32_t priority = 0;
};

/// How a pick weighs the upstreams.
struct PickPolicy {
    /// Upstreams drawn at random, of which the one with the lowest cost is taken.
    std::uint32_t choices = 2;
    /// Whether upstreams of which there is no fresh report count as loaded as they usually are.
    bool byUsualLoad = false;

    /// \returns the policy for upstreams that report the speed that their nodes learned.
    static PickPolicy byLearnedSpeed() { return { 3, true }; }
};

/// Chooses among the upstreams of one service and version by the power of two choices: of two upstreams (or as many as the
/// policy says) drawn at random, it takes the one with the lower product of observed latency and calls in flight. Upstreams in the local
/// failure domain are preferred unless a remote one is clearly better. Gossiped load lags behind the actual load, so
/// it changes the cost of an upstream only by a bounded factor.
class UpstreamPicker {
public:
    /// Fraction of its usual calls that a cold upstream receives.
    static constexpr double s_coldShare = 0.125;
    /// A remote upstream is chosen over a local one only if it is better by this factor.
    static constexpr double s_remoteDomainFactor = 2;
    /// Minimum time between two membership views that are applied.
    static constexpr std::chrono::milliseconds s_viewInterval { 200 };
    /// Latency that is assumed before the first answer.
    static constexpr double s_initialLatencySeconds = 0.005;

    explicit UpstreamPicker(std::mt19937_64 random);
    /// Not copyable, because candidates point into the statistics.
    UpstreamPicker(const UpstreamPicker&) = delete;
    UpstreamPicker& operator=(const UpstreamPicker&) = delete;

    void setPolicy(const PickPolicy& policy) { m_policy = policy; }
    void setLocalNode(NodeName, FailureDomainName);
    /// Sets the membership view, which a pick applies once \c s_viewInterval has passed since the last applied one. In
    /// a large fleet, views arrive more often than it is worth processing them. Statistics of nodes that are missing
    /// in the view are removed.
    void setView(std::shared_ptr<const membership::MembershipView>);

    std::optional<UpstreamChoice> pick(
        const ServiceName&, const VersionFilter&, const PickConstraints&, MonotonicTime now);

    /// \returns the time until an upstream may accept a call of the rank, if all of them refused such calls for the rate that
    /// they take; empty otherwise.
    std::optional<std::chrono::nanoseconds> untilAccepted(
        const ServiceName&, const VersionFilter&, std::uint32_t priority, MonotonicTime now);

    void onSent(const NodeName&, bool probe);
    /// See \c UpstreamStatistics.
    void onRateLimited(const NodeName&, std::uint32_t priority, std::chrono::milliseconds wait, MonotonicTime now);
    /// \param cooldown time for which the upstream asked not to be sent calls; 0 if it did not.
    void onFinished(const NodeName&, UpstreamSignal, std::chrono::nanoseconds latency, std::chrono::milliseconds cooldown,
        MonotonicTime now);

    void onLoad(const NodeName&, const UpstreamLoad&, MonotonicTime now);

    /// \returns the upstreams of the service for each node of the fleet.
    double upstreamsPerNode(const ServiceName&) const;

    /// \returns the mean latency of the answered calls of all upstreams; empty before the first answer.
    std::optional<std::chrono::nanoseconds> meanLatency() const;
    /// \returns a random number from 0 to 1, from the generator that is also used for picks.
    double drawUnit();

private:
    struct Candidate {
        NodeName node;
        VersionName version;
        Endpoint calls;
        FailureDomainName domain;
        bool cold = false;
        bool suspect = false;
        /// From 1 to 2, depending on the load that the node gossiped.
        double loadFactor = 1;
        UpstreamStatistics* statistics = nullptr;
    };
    using Candidates = std::vector<Candidate>;
    using Pool = std::vector<const Candidate*>;
    /// Eligible candidates, in order of preference.
    struct Pools {
        Pool healthy;
        Pool cold;
        Pool degraded;
        Pool ejected;
    };

    void applyPendingView(MonotonicTime now);
    void retainStatistics(const membership::MembershipView&);
    void addCandidate(const membership::KnownNode&);
    /// \returns the upstreams of the service that satisfy the filter and the constraints.
    Pool eligible(const ServiceName&, const VersionFilter&, const PickConstraints&, MonotonicTime now) const;
    static Pools poolsOf(const Pool&, MonotonicTime now);
    const Pool* choosePool(const Pools&, const PickConstraints&);
    static const Candidate* dueProbe(const Pool&, MonotonicTime now);
    const Candidate* pickFrom(const Pool&, MonotonicTime now);
    const Candidate* bestOfDrawn(Pool, MonotonicTime now);
    double cost(const Candidate&, MonotonicTime now) const;
    bool isInScope(const Candidate&, DomainScope) const;

    std::mt19937_64 m_random;
    PickPolicy m_policy;
    NodeName m_localNode;
    FailureDomainName m_localDomain;
    /// The latest view that has not been applied yet; null if there is none.
    std::shared_ptr<const membership::MembershipView> m_pendingView;
    std::optional<MonotonicTime> m_viewAppliedAt;
    std::unordered_map<NodeName, UpstreamStatistics> m_statistics;
    std::unordered_map<ServiceName, Candidates> m_candidates;
    /// Nodes of the applied view that are not dead.
    std::size_t m_nodes = 1;
    double m_meanSeconds = 0;
};

}
