#pragma once

#include "carobpath/membership/NodeEntry.h"
#include "carobpath/routing/ChoiceBasis.h"
#include "carobpath/routing/UpstreamStatistics.h"

#include <memory>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carobpath::routing {

/// Which versions of a service a call may go to.
class VersionFilter {
public:
    /// One version alone.
    VersionFilter(VersionName only)
        : m_name(std::move(only))
    {
    }
    /// Every version but one; an empty name leaves none out.
    static VersionFilter allExcept(VersionName name)
    {
        VersionFilter it { std::move(name) };
        it.m_excludes = true;
        return it;
    }

    bool matches(const VersionName& version) const { return (version == m_name) != m_excludes; }

private:
    VersionName m_name;
    bool m_excludes = false;
};

/// The node beside the upstream that a call is sent to.
struct UpstreamChoice {
    NodeName node;
    VersionName version;
    Endpoint calls;
    bool freshConnection = false;
    /// One call that tries out an upstream after its ejection.
    bool probe = false;
    ChoiceBasis basis;
};

/// Which failure domains a pick may take upstreams of.
enum class DomainScope : std::uint8_t {
    /// All, with this node's own preferred until one elsewhere is clearly better.
    Any,
    Local,
    Remote,
};

/// What a pick may consider.
struct PickConstraints {
    /// Nodes that the call was sent to already.
    std::span<const NodeName> excluded;
    /// Whether the call may try out an upstream after its ejection: it can be sent again if that fails.
    bool mayProbe = false;
    /// Whether an ejected upstream may be taken where there is nothing better.
    bool allowEjected = false;
    DomainScope domainScope = DomainScope::Any;
    /// The only node to take; empty where all may be.
    NodeName only {};
};

/// Chooses among the upstreams of one service and version by the power of two choices: of two drawn at random, the one
/// with the lower product of observed latency and calls in flight. Upstreams in this node's own failure domain
/// are preferred until one elsewhere is clearly better. The load that nodes spread lags, so it
/// moves the choice by a bounded factor only.
class UpstreamPicker {
public:
    /// Part of an upstream's usual calls that a cold one gets.
    static constexpr double s_coldShare = 0.125;
    /// An upstream in another failure domain must be better by this factor.
    static constexpr double s_otherDomainFactor = 2;
    /// Shortest time between two views that are taken up.
    static constexpr std::chrono::milliseconds s_viewInterval { 200 };
    /// Latency assumed before any call was answered.
    static constexpr double s_initialLatencySeconds = 0.005;

    explicit UpstreamPicker(std::mt19937_64 random);
    /// Candidates point into the statistics.
    UpstreamPicker(const UpstreamPicker&) = delete;
    UpstreamPicker& operator=(const UpstreamPicker&) = delete;

    void setLocalNode(NodeName, FailureDomainName);
    /// Taken up by the next pick, within \c s_viewInterval: in a large fleet views follow each other faster than it pays
    /// to sort them. Statistics of nodes that the view lacks are forgotten.
    void setView(std::shared_ptr<const membership::MembershipView>);

    std::optional<UpstreamChoice> pick(
        const ServiceName&, const VersionFilter&, const PickConstraints&, MonotonicTime now);

    void onSent(const NodeName&, bool probe);
    /// \param rest time for which the upstream asked to be left alone, where it did.
    void onFinished(const NodeName&, UpstreamSignal, std::chrono::nanoseconds latency, std::chrono::milliseconds rest,
        MonotonicTime now);

    void onLoad(const NodeName&, const UpstreamLoad&, MonotonicTime now);

    /// \returns the mean latency of answered calls over all upstreams, if any was answered.
    std::optional<std::chrono::nanoseconds> meanLatency() const;
    /// \returns a number from 0 to 1, from the generator that picks too.
    double drawUnit();

private:
    struct Candidate {
        NodeName node;
        VersionName version;
        Endpoint calls;
        FailureDomainName domain;
        bool cold = false;
        bool suspect = false;
        /// From 1 to 2, by the load that the node spread.
        double hintFactor = 1;
        UpstreamStatistics* statistics = nullptr;
    };
    using Candidates = std::vector<Candidate>;
    using Pool = std::vector<const Candidate*>;
    /// Eligible candidates in the order of preference.
    struct Pools {
        Pool sound;
        Pool cold;
        Pool doubtful;
        Pool ejected;
    };

    void takeUpView(MonotonicTime now);
    void keepStatistics(const membership::MembershipView&);
    void addCandidate(const membership::KnownNode&);
    /// \returns the upstreams of the service that the filter takes and the call was not sent to yet.
    Pool eligible(const ServiceName&, const VersionFilter&, const PickConstraints&) const;
    static Pools poolsOf(const Pool&, MonotonicTime now);
    const Pool* choosePool(const Pools&, const PickConstraints&);
    static const Candidate* dueProbe(const Pool&, MonotonicTime now);
    const Candidate* pickFrom(const Pool&, MonotonicTime now);
    const Candidate* betterOfTwo(const Pool&, MonotonicTime now);
    double cost(const Candidate&, MonotonicTime now) const;
    bool isInScope(const Candidate&, DomainScope) const;

    std::mt19937_64 m_random;
    NodeName m_ownNode;
    FailureDomainName m_ownDomain;
    /// A view that was not taken up yet.
    std::shared_ptr<const membership::MembershipView> m_newView;
    std::optional<MonotonicTime> m_viewTakenAt;
    std::unordered_map<NodeName, UpstreamStatistics> m_statistics;
    std::unordered_map<ServiceName, Candidates> m_candidates;
    double m_meanSeconds = 0;
};

}
