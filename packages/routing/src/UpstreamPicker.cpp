#include "carobpath/routing/UpstreamPicker.h"

#include <algorithm>
#include <utility>

namespace carobpath::routing {

namespace {

    /// Weight of a new sample in the mean latency.
    constexpr double meanSampleWeight = 0.05;
    /// Additional cost factor of a server whose calls all fail, compared with one that answers all of them.
    constexpr double maxErrorPenalty = 8;

    bool isServing(const membership::KnownNode& known)
    {
        const auto& upstream = known.entry.upstream;
        if (!upstream || known.entry.leaving || known.liveness == membership::Liveness::Dead)
            return false;
        return upstream->state == membership::UpstreamState::Ready
            || upstream->state == membership::UpstreamState::Cold;
    }

    double loadFactor(const membership::Upstream& it)
    {
        const double slots = std::max(it.slots, 1U);
        return 1 + std::min(1.0, (it.inFlight + it.waiting) / slots);
    }

    bool contains(std::span<const NodeName> nodes, const NodeName& node)
    {
        return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
    }

}

UpstreamPicker::UpstreamPicker(std::mt19937_64 random)
    : m_random(random)
{
}

void UpstreamPicker::setLocalNode(NodeName node, FailureDomainName domain)
{
    m_localNode = std::move(node);
    m_localDomain = std::move(domain);
}

void UpstreamPicker::setView(std::shared_ptr<const membership::MembershipView> view) { m_pendingView = std::move(view); }

void UpstreamPicker::applyPendingView(MonotonicTime now)
{
    if (!m_pendingView || (m_viewAppliedAt && now - *m_viewAppliedAt < s_viewInterval))
        return;
    m_viewAppliedAt = now;
    const auto view = std::exchange(m_pendingView, nullptr);
    m_candidates.clear();
    retainStatistics(*view);
    for (const auto& known : view->nodes)
        addCandidate(known);
    const auto isDead = [](const auto& it) { return it.liveness == membership::Liveness::Dead; };
    const auto dead = std::count_if(view->nodes.begin(), view->nodes.end(), isDead);
    m_nodes = std::max<std::size_t>(1, view->nodes.size() - static_cast<std::size_t>(dead));
}

void UpstreamPicker::retainStatistics(const membership::MembershipView& view)
{
    std::unordered_map<NodeName, UpstreamStatistics> retained;
    for (const auto& known : view.nodes) {
        const auto old = m_statistics.extract(known.entry.name);
        auto& statistics = retained[known.entry.name];
        if (old)
            statistics = old.mapped();
        statistics.onRevision(known.entry.revision, known.entry.upstream ? known.entry.upstream->callsPerSecond : std::nullopt);
    }
    m_statistics = std::move(retained);
}

void UpstreamPicker::addCandidate(const membership::KnownNode& known)
{
    if (!isServing(known))
        return;
    const auto& entry = known.entry;
    const auto& upstream = *entry.upstream;
    Candidate it;
    it.node = entry.name;
    it.version = upstream.version;
    it.calls = entry.addresses.calls;
    it.domain = entry.domain;
    it.cold = upstream.state == membership::UpstreamState::Cold;
    it.suspect = known.liveness == membership::Liveness::Suspect && entry.name != m_localNode;
    it.loadFactor = loadFactor(upstream);
    it.statistics = &m_statistics.at(entry.name);
    m_candidates[upstream.service].push_back(std::move(it));
}

std::optional<UpstreamChoice> UpstreamPicker::pick(
    const ServiceName& service, const VersionFilter& versions, const PickConstraints& constraints, MonotonicTime now)
{
    applyPendingView(now);
    const auto candidates = eligible(service, versions, constraints, now);
    const auto* probe = constraints.mayProbe ? dueProbe(candidates, now) : nullptr;
    const auto* chosen = probe;
    if (!chosen) {
        const auto pools = poolsOf(candidates, now);
        const auto* pool = choosePool(pools, constraints);
        if (!pool)
            return std::nullopt;
        chosen = pickFrom(*pool, now);
    }
    const ChoiceBasis basis { static_cast<std::uint32_t>(candidates.size()), now - *m_viewAppliedAt };
    const auto& statistics = *chosen->statistics;
    return UpstreamChoice { chosen->node, chosen->version, chosen->calls, statistics.connectionsSuspect(), statistics.callsPerSecond(), probe != nullptr, basis };
}

std::optional<std::chrono::nanoseconds> UpstreamPicker::untilAccepted(
    const ServiceName& service, const VersionFilter& versions, std::uint32_t priority, MonotonicTime now)
{
    applyPendingView(now);
    const auto found = m_candidates.find(service);
    if (found == m_candidates.end())
        return std::nullopt;
    std::optional<std::chrono::nanoseconds> shortest;
    for (const auto& it : found->second) {
        if (!versions.matches(it.version) || it.statistics->status(now) == UpstreamStatistics::Status::NotServing)
            continue;
        const auto wait = it.statistics->untilAccepted(priority, now);
        if (wait.count() == 0)
            return std::nullopt;
        shortest = std::min(shortest.value_or(wait), wait);
    }
    return shortest;
}

UpstreamPicker::Pool UpstreamPicker::eligible(
    const ServiceName& service, const VersionFilter& versions, const PickConstraints& constraints, MonotonicTime now) const
{
    Pool pool;
    const auto found = m_candidates.find(service);
    if (found == m_candidates.end())
        return pool;
    for (const auto& it : found->second) {
        const bool isAllowedNode = constraints.only.empty() || constraints.only == it.node;
        const bool mayAccept = it.statistics->untilAccepted(constraints.priority, now).count() == 0;
        if (isAllowedNode && mayAccept && versions.matches(it.version) && isInScope(it, constraints.domainScope) && !contains(constraints.excluded, it.node))
            pool.push_back(&it);
    }
    return pool;
}

bool UpstreamPicker::isInScope(const Candidate& it, DomainScope scope) const
{
    return scope == DomainScope::Any || (it.domain == m_localDomain) == (scope == DomainScope::Local);
}

const UpstreamPicker::Candidate* UpstreamPicker::dueProbe(const Pool& candidates, MonotonicTime now)
{
    const auto it = std::find_if(candidates.begin(), candidates.end(),
        [now](const Candidate* candidate) { return !candidate->suspect && candidate->statistics->probeDue(now); });
    return it == candidates.end() ? nullptr : *it;
}

UpstreamPicker::Pools UpstreamPicker::poolsOf(const Pool& candidates, MonotonicTime now)
{
    using Status = UpstreamStatistics::Status;
    Pools pools;
    for (const auto* it : candidates) {
        const auto status = it->statistics->status(now);
        if (status == Status::NotServing)
            continue;
        if (status == Status::Ejected)
            pools.ejected.push_back(it);
        else if (status == Status::Degraded || it->suspect)
            pools.degraded.push_back(it);
        else if (it->cold)
            pools.cold.push_back(it);
        else
            pools.healthy.push_back(it);
    }
    return pools;
}

const UpstreamPicker::Pool* UpstreamPicker::choosePool(const Pools& pools, const PickConstraints& constraints)
{
    if (!pools.healthy.empty() && !pools.cold.empty()) {
        const double cold = s_coldShare * static_cast<double>(pools.cold.size());
        const double all = cold + static_cast<double>(pools.healthy.size());
        return drawUnit() * all < cold ? &pools.cold : &pools.healthy;
    }
    for (const auto* pool : { &pools.healthy, &pools.cold, &pools.degraded }) {
        if (!pool->empty())
            return pool;
    }
    return constraints.allowEjected && !pools.ejected.empty() ? &pools.ejected : nullptr;
}

const UpstreamPicker::Candidate* UpstreamPicker::pickFrom(const Pool& pool, MonotonicTime now)
{
    Pool local;
    Pool remote;
    for (const auto* it : pool)
        (it->domain == m_localDomain ? local : remote).push_back(it);
    if (local.empty())
        return bestOfDrawn(std::move(remote), now);
    const auto* bestLocal = bestOfDrawn(std::move(local), now);
    if (remote.empty())
        return bestLocal;
    const auto* remoteCandidate = remote[m_random() % remote.size()];
    return cost(*remoteCandidate, now) * s_remoteDomainFactor < cost(*bestLocal, now) ? remoteCandidate : bestLocal;
}

const UpstreamPicker::Candidate* UpstreamPicker::bestOfDrawn(Pool left, MonotonicTime now)
{
    const Candidate* best = nullptr;
    for (std::uint32_t i = 0; i < m_policy.choices && !left.empty(); ++i) {
        const auto index = m_random() % left.size();
        const auto* drawn = std::exchange(left[index], left.back());
        left.pop_back();
        if (!best || cost(*drawn, now) < cost(*best, now))
            best = drawn;
    }
    return best;
}

double UpstreamPicker::cost(const Candidate& it, MonotonicTime now) const
{
    const double mean = m_meanSeconds > 0 ? m_meanSeconds : s_initialLatencySeconds;
    const double errorPenalty = 1 + maxErrorPenalty * it.statistics->errorRate();
    if (it.statistics->hasLoad() && m_policy.byUsualLoad)
        return it.statistics->expectedSecondsByUsualLoad(mean, now) * errorPenalty;
    if (it.statistics->hasLoad())
        return it.statistics->expectedSeconds(mean, now) * errorPenalty;
    const double latency = it.statistics->latencySeconds(mean, now);
    return latency * (1 + it.statistics->inFlight()) * it.loadFactor * errorPenalty;
}

void UpstreamPicker::onSent(const NodeName& node, bool probe)
{
    const auto it = m_statistics.find(node);
    if (it != m_statistics.end())
        it->second.onSent(probe);
}

void UpstreamPicker::onRateLimited(const NodeName& node, std::uint32_t priority, std::chrono::milliseconds wait, MonotonicTime now)
{
    const auto it = m_statistics.find(node);
    if (it != m_statistics.end())
        it->second.onRateLimited(priority, wait, now);
}

void UpstreamPicker::onFinished(const NodeName& node, UpstreamSignal signal, std::chrono::nanoseconds latency,
    std::chrono::milliseconds cooldown, MonotonicTime now)
{
    if (signal == UpstreamSignal::Answered) {
        const double sample = std::chrono::duration<double>(latency).count();
        m_meanSeconds = m_meanSeconds > 0 ? m_meanSeconds + meanSampleWeight * (sample - m_meanSeconds) : sample;
    }
    const auto it = m_statistics.find(node);
    if (it != m_statistics.end())
        it->second.onFinished(signal, latency, cooldown, now);
}

void UpstreamPicker::onLoad(const NodeName& node, const UpstreamLoad& load, MonotonicTime now)
{
    const auto it = m_statistics.find(node);
    if (it != m_statistics.end())
        it->second.onLoad(load, now);
}

std::optional<std::chrono::nanoseconds> UpstreamPicker::meanLatency() const
{
    if (m_meanSeconds <= 0)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(m_meanSeconds));
}

double UpstreamPicker::upstreamsPerNode(const ServiceName& service) const
{
    const auto found = m_candidates.find(service);
    const auto upstreams = found == m_candidates.end() ? 0 : found->second.size();
    return static_cast<double>(upstreams) / static_cast<double>(m_nodes);
}

double UpstreamPicker::drawUnit() { return std::uniform_real_distribution<double> {}(m_random); }

}
