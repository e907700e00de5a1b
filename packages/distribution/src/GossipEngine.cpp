#include "carobpath/distribution/GossipEngine.h"

#include <algorithm>

namespace carobpath::distribution {

namespace {

    std::chrono::milliseconds draw(std::chrono::milliseconds from, std::chrono::milliseconds to, std::mt19937_64& random)
    {
        return std::chrono::milliseconds { std::uniform_int_distribution<std::int64_t>(from.count(), to.count())(random) };
    }

    std::vector<NodeName> namesOf(const std::vector<const membership::KnownNode*>& nodes)
    {
        std::vector<NodeName> names;
        names.reserve(nodes.size());
        for (const auto* it : nodes)
            names.push_back(it->entry.name);
        return names;
    }

}

GossipEngine::GossipEngine(membership::NodeEntry self, std::vector<Endpoint> seeds, SetDigest digest, EvidencePort evidence, std::mt19937_64 random, MonotonicTime now)
    : m_seeds(std::move(seeds))
    , m_random(random)
    , m_members(std::move(self), now)
    , m_replica(std::move(digest))
    , m_activationAt(now)
    , m_evidence(std::move(evidence))
    , m_startedAt(now)
    , m_lastTick(now)
    , m_membershipAt(now)
    , m_nextGossipAt(now)
    , m_evidenceAt(now)
    , m_gateAt(now)
    , m_comparedAt(now)
    , m_viewAt(now)
    , m_joinTimeout(s_joinTimeout + draw(std::chrono::milliseconds { 0 }, s_joinTimeout, m_random))
{
    std::erase(m_seeds, m_members.self().addresses.peer);
}

Commands GossipEngine::tick(MonotonicTime now)
{
    Commands commands;
    detectPause(now);
    tickMembership(now, commands);
    tickEvidence(now, commands);
    tickGossip(now, commands);
    tickGate(now, commands);
    tickFetch(now, commands);
    tickDeltas(now, commands);
    publishState(now, commands);
    tickRole(now, commands);
    return commands;
}

void GossipEngine::tickEvidence(MonotonicTime now, Commands& commands)
{
    if (m_evidence.collectionDue(now))
        pushNotices(m_evidence.collect(now), Endpoint {}, commands);
    if (now - m_evidenceAt < s_evidenceInterval || !m_evidence.hasEntries())
        return;
    m_evidenceAt = now;
    const auto* peer = m_tree.randomPeer(m_random);
    if (!peer)
        return;
    PeerMessage message = header();
    message.evidence = m_evidence.take(s_evidenceBudget, transmissions());
    commands.emplace_back(SendPush { peer->addresses.peer, std::move(message) });
}

void GossipEngine::detectPause(MonotonicTime now)
{
    const bool paused = now - m_lastTick >= s_pauseThreshold;
    m_lastTick = now;
    if (!paused)
        return;
    ++m_counters.pauses;
    m_members.onPaused();
    // Timeouts reported after a pause were caused by this process, not by its peers.
    for (auto& [id, outstanding] : m_outstanding)
        outstanding.peer = NodeName {};
    m_nextGossipAt = now;
}

void GossipEngine::tickMembership(MonotonicTime now, Commands&)
{
    if (now - m_membershipAt < s_membershipInterval)
        return;
    m_membershipAt = now;
    m_members.tick(now);
}

void GossipEngine::tickGossip(MonotonicTime now, Commands& commands)
{
    if (now < m_nextGossipAt)
        return;
    constexpr auto spread = s_gossipInterval / 5;
    m_nextGossipAt = now + draw(s_gossipInterval - spread, s_gossipInterval + spread, m_random);
    const auto* peer = m_tree.randomPeer(m_random);
    if (!peer) {
        m_nextGossipAt = now + draw(s_gateInterval, s_gossipInterval, m_random);
        sendGossipToSeed(commands);
        return;
    }
    sendGossip(peer->addresses.peer, peer->name, commands);
    ++m_gossipRound;
    const std::uint32_t seedRounds = m_gossipRound <= s_initialPhaseRounds ? s_initialSeedRounds : s_seedRounds;
    if (m_gossipRound % seedRounds == 0)
        sendGossipToSeed(commands);
    if (m_gossipRound % s_deadPeerRounds != 0)
        return;
    if (const auto* dead = m_tree.randomDeadPeer(m_random))
        sendGossip(dead->addresses.peer, dead->name, commands);
}

void GossipEngine::sendGossipToSeed(Commands& commands)
{
    if (m_seeds.empty())
        return;
    const auto index = std::uniform_int_distribution<std::size_t>(0, m_seeds.size() - 1)(m_random);
    sendGossip(m_seeds[index], NodeName {}, commands);
}

void GossipEngine::sendGossip(const Endpoint& to, const NodeName& peer, Commands& commands)
{
    if (m_outstanding.size() >= s_maxOutstanding)
        return;
    const GossipId id = ++m_lastId;
    m_outstanding.emplace(id, Outstanding { peer, false });
    ++m_counters.requests;
    PeerMessage message = makeGossipMessage(to, m_joining || peer.empty());
    const auto* record = peer.empty() ? nullptr : m_members.find(peer);
    if (record && record->dead)
        message.membership.records.push_back(*record);
    commands.emplace_back(SendGossip { id, to, std::move(message) });
}

void GossipEngine::tickGate(MonotonicTime now, Commands& commands)
{
    if (m_gate.confirmed() || m_joining || now < m_gateAt)
        return;
    m_gateAt = now + s_gateInterval;
    m_gate.update(namesOf(m_tree.localWitnesses()), namesOf(m_tree.remoteWitnesses()));
    if (m_gate.confirmed())
        return;
    queryWitnesses(m_tree.localWitnesses(), commands);
    queryWitnesses(m_tree.remoteWitnesses(), commands);
}

void GossipEngine::queryWitnesses(const std::vector<const membership::KnownNode*>& witnesses, Commands& commands)
{
    std::size_t queried = 0;
    for (const auto* it : witnesses) {
        if (!m_gate.awaitsAnswerFrom(it->entry.name))
            continue;
        sendGossip(it->entry.addresses.peer, it->entry.name, commands);
        if (++queried == VersionFloorGate::s_notifiedWitnesses)
            return;
    }
}

void GossipEngine::tickFetch(MonotonicTime now, Commands& commands)
{
    const auto source = m_fetch.start(now);
    if (!source)
        return;
    const GossipId id = ++m_lastId;
    m_outstanding.emplace(id, Outstanding { NodeName {}, true });
    commands.emplace_back(FetchSnapshot { id, source->peer, source->scope });
}

void GossipEngine::tickDeltas(MonotonicTime now, Commands& commands)
{
    if (!m_replica.current() || now < m_activationAt)
        return;
    const auto deltas = m_pendingDeltas.takeFrom(m_replica.current()->stamp.offset);
    if (deltas.empty())
        return;
    const auto before = m_replica.current();
    const auto adoption = m_replica.applyDeltas(deltas);
    onAdoption(adoption, before, Endpoint {}, now, commands);
    if (adoption != Adoption::Adopted)
        return;
    m_counters.deltasApplied += deltas.size();
    for (const auto& it : deltas) {
        if (it->span)
            commands.emplace_back(SkipRecords { *it->span });
    }
}

void GossipEngine::onActivated(std::chrono::nanoseconds took, MonotonicTime now)
{
    m_activationAt = now + std::min<std::chrono::nanoseconds>(took * s_activationWaitFactor, s_longestActivationWait);
}

void GossipEngine::tickRole(MonotonicTime now, Commands& commands)
{
    const bool joinTimedOut = !m_receivedFromJoinedPeer && now - m_startedAt >= m_joinTimeout;
    if (m_joining && joinTimedOut && m_receivedFromPeer)
        m_joining = false;
    const bool settled = !m_joining || joinTimedOut;
    const bool reading = settled && m_tree.isLogReader() && !m_members.superseded() && !m_members.self().leaving;
    if (reading == m_reading)
        return;
    m_reading = reading;
    commands.emplace_back(ReadLog { reading });
}

bool GossipEngine::viewDue(MonotonicTime now) const
{
    if (!m_view || m_view->nodes.size() <= 1)
        return true;
    return now - m_viewAt >= (m_isViewUrgent ? s_urgentViewInterval : s_viewInterval);
}

void GossipEngine::publishState(MonotonicTime now, Commands& commands)
{
    if (viewDue(now)) {
        auto view = m_members.view();
        if (view != m_view) {
            m_viewAt = now;
            m_isViewUrgent = false;
            m_view = std::move(view);
            m_tree = RelayTree(m_view, m_members.self().name, m_members.self().domain);
            commands.emplace_back(PublishView { m_view });
        }
    }
    const bool ready = m_gate.passes(m_replica.stamp()) && !m_members.superseded();
    if (ready && m_active != m_replica.current()) {
        m_active = m_replica.current();
        commands.emplace_back(ActivateConfiguration { m_active });
    }
    if (ready == m_ready)
        return;
    m_ready = ready;
    commands.emplace_back(SetReady { ready });
}

Commands GossipEngine::onLogAdvanced(publication::ConfigurationPointer replayed, MonotonicTime now, const std::optional<publication::RecordSpan>& span)
{
    Commands commands;
    const auto before = m_replica.current();
    onAdoption(m_replica.adoptFromLog(std::move(replayed), span), before, Endpoint {}, now, commands);
    publishState(now, commands);
    return commands;
}

Commands GossipEngine::onLogEnd(MonotonicTime now)
{
    Commands commands;
    m_gate.onLogEnd();
    publishState(now, commands);
    return commands;
}

Commands GossipEngine::onStreamEnd(const StreamEnd& reached)
{
    Commands commands;
    if (m_streamEnds.advance(reached))
        pushStreamEnds(Endpoint {}, false, commands);
    return commands;
}

Commands GossipEngine::addSeeds(const std::vector<Endpoint>& found)
{
    for (const auto& it : found) {
        if (it == m_members.self().addresses.peer)
            continue;
        std::erase(m_seeds, it);
        m_seeds.push_back(it);
    }
    if (m_seeds.size() > s_maxSeeds)
        m_seeds.erase(m_seeds.begin(), m_seeds.end() - s_maxSeeds);
    Commands commands;
    for (const auto& it : m_seeds) {
        if (!isKnownAlive(it))
            sendGossip(it, NodeName {}, commands);
    }
    return commands;
}

bool GossipEngine::isKnownAlive(const Endpoint& peer) const
{
    return m_view && std::any_of(m_view->nodes.begin(), m_view->nodes.end(), [&](const auto& it) {
        return it.entry.addresses.peer == peer && it.liveness == membership::Liveness::Alive;
    });
}

Commands GossipEngine::setUpstream(std::optional<membership::Upstream> upstream, MonotonicTime now)
{
    Commands commands;
    const bool isUrgent = membership::routingChanged(m_members.self().upstream, upstream);
    if (m_members.setUpstream(std::move(upstream), now) && isUrgent)
        pushSelf(commands);
    publishState(now, commands);
    return commands;
}

Commands GossipEngine::leave(MonotonicTime now)
{
    Commands commands;
    m_members.leave();
    pushSelf(commands);
    publishState(now, commands);
    tickRole(now, commands);
    return commands;
}

void GossipEngine::pushSelf(Commands& commands)
{
    m_isViewUrgent = true;
    PushContent content;
    content.records.push_back(*m_members.find(m_members.self().name));
    push(content, Endpoint {}, commands);
}

Commands GossipEngine::onCall(const NodeName& node, bool succeeded, MonotonicTime now)
{
    Commands commands;
    if (succeeded)
        m_members.onCallSucceeded(node);
    else
        m_members.onCallFailed(node, now);
    publishState(now, commands);
    return commands;
}

Commands GossipEngine::onEvidenceChanged(MonotonicTime now)
{
    Commands commands;
    pushNotices(m_evidence.collect(now), Endpoint {}, commands);
    return commands;
}

}
