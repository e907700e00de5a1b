// Messages that the gossip engine sends to its peers and receives from them.
#include "carobpath/distribution/GossipEngine.h"

#include <algorithm>
#include <bit>
#include <set>

namespace carobpath::distribution {

namespace {

    constexpr std::uint32_t minTransmissions = 4;

}

PeerMessage GossipEngine::onGossip(const PeerMessage& request, MonotonicTime now, Commands& commands)
{
    processMessage(request, now, commands);
    recordFloor(request);
    recordMatchingTable(request);
    PeerMessage reply = makeGossipMessage(request.sender, m_joining || request.joining);
    if (request.stamp && hasNewerThan(request.stamp)) {
        const auto delta = m_replica.deltaFrom(*request.stamp);
        if (maySend(delta))
            reply.delta = delta;
    }
    if (comparisonDue(request, now))
        reply.membershipBuckets = m_members.digest().buckets();
    publishState(now, commands);
    return reply;
}

Commands GossipEngine::onReply(GossipId id, const PeerMessage& reply, MonotonicTime now)
{
    Commands commands;
    if (m_outstanding.erase(id) == 0)
        return commands;
    processMessage(reply, now, commands);
    recordFloor(reply);
    recordMatchingTable(reply);
    if (reply.stamp && hasNewerThan(reply.stamp)) {
        PushContent content;
        content.delta = m_replica.deltaFrom(*reply.stamp);
        if (maySend(content.delta))
            pushTo(reply.sender, content, commands);
    }
    answerComparison(reply, commands);
    publishState(now, commands);
    return commands;
}

Commands GossipEngine::onPush(const PeerMessage& message, MonotonicTime now)
{
    Commands commands;
    processMessage(message, now, commands);
    answerComparison(message, commands);
    publishState(now, commands);
    return commands;
}

Commands GossipEngine::onFailed(GossipId id, MonotonicTime now)
{
    Commands commands;
    const auto it = m_outstanding.find(id);
    if (it == m_outstanding.end())
        return commands;
    const Outstanding ended = it->second;
    m_outstanding.erase(it);
    if (ended.isSnapshot)
        m_fetch.onEnded(false, now, m_random);
    else
        ++m_counters.requestsFailed;
    if (!ended.peer.empty()) {
        m_members.onGossipFailed(ended.peer, now);
        m_gate.onFailed(ended.peer);
    }
    publishState(now, commands);
    return commands;
}

std::optional<StateSnapshot> GossipEngine::onFetch(FetchScope scope, MonotonicTime now)
{
    if (m_joining || !m_slots.tryStart(now)) {
        ++m_counters.snapshotsRefused;
        return std::nullopt;
    }
    ++m_counters.snapshotsServed;
    const auto configuration = scope == FetchScope::All ? m_replica.current() : nullptr;
    return StateSnapshot { configuration, m_members.allRecords(), m_evidence.snapshot() };
}

Commands GossipEngine::onSnapshot(GossipId id, const StateSnapshot& state, MonotonicTime now)
{
    Commands commands;
    if (m_outstanding.erase(id) == 0)
        return commands;
    ++m_counters.snapshotsFetched;
    m_joining = false;
    // Makes a new view due at once: log readers and witnesses must not be chosen among the few nodes known before.
    m_viewAt = now - s_viewInterval;
    membership::MembershipUpdate update;
    update.records = state.records;
    m_members.merge(update, now);
    pushNotices(m_evidence.merge(state.evidence), Endpoint {}, commands);
    Adoption adoption = Adoption::AlreadyCurrent;
    const auto before = m_replica.current();
    if (state.configuration)
        adoption = m_replica.adoptFullSet(state.configuration);
    m_fetch.onEnded(adoption != Adoption::DigestMismatch, now, m_random);
    onAdoption(adoption, before, Endpoint {}, now, commands);
    publishState(now, commands);
    return commands;
}

Commands GossipEngine::onBusy(GossipId id, MonotonicTime now)
{
    return onFailed(id, now);
}

void GossipEngine::processMessage(const PeerMessage& message, MonotonicTime now, Commands& commands)
{
    if (message.from == m_members.self().name)
        return;
    m_receivedFromPeer = true;
    m_receivedFromJoinedPeer = m_receivedFromJoinedPeer || !message.joining;
    m_members.onGossipSucceeded(message.from);
    if (message.stamp)
        m_floors.record(message.sender, *message.stamp);
    const auto merged = m_members.merge(message.membership, now);
    PushContent content;
    content.records = merged.urgent;
    m_isViewUrgent = m_isViewUrgent || !merged.urgent.empty();
    push(content, message.sender, commands);
    pushNotices(m_evidence.merge(message.evidence), message.sender, commands);
    const bool hasNewEnd = processStreamEnds(message, commands);
    const bool hadDelta = message.delta != nullptr;
    const bool isForwarded = hadDelta && m_eachNodeReads && keepDelta(message, commands);
    if (hadDelta && !m_eachNodeReads)
        processDelta(message, now, commands);
    if (hasNewEnd)
        pushStreamEnds(message.sender, isForwarded, commands);
    compareStamps(message, !hadDelta, now);
}

bool GossipEngine::processStreamEnds(const PeerMessage& message, Commands& commands)
{
    bool hasNews = false;
    for (const auto& it : message.streamEnds) {
        if (!m_streamEnds.advance(it))
            continue;
        hasNews = true;
        commands.emplace_back(AdvanceStream { it });
    }
    return hasNews;
}

void GossipEngine::pushStreamEnds(const Endpoint& except, bool neighboursKnow, Commands& commands)
{
    std::set<Endpoint> receivers;
    for (const auto* it : m_tree.neighbours()) {
        if (!neighboursKnow)
            receivers.insert(it->addresses.peer);
    }
    for (std::size_t i = 0; i < s_streamEndFanOut; ++i) {
        if (const auto* peer = m_tree.randomPeer(m_random))
            receivers.insert(peer->addresses.peer);
    }
    receivers.erase(except);
    for (const auto& it : receivers)
        commands.emplace_back(SendPush { it, header() });
}

void GossipEngine::recordFloor(const PeerMessage& message)
{
    // A starting node also treats the current version of a witness as a floor, since the witness may have evicted the
    // entry of this address.
    const bool theirsIsHigher = message.stamp && (!message.versionFloor || message.versionFloor->offset < message.stamp->offset);
    const bool starting = !m_gate.confirmed();
    m_gate.onAnswer(message.from, starting && theirsIsHigher ? message.stamp : message.versionFloor);
}

void GossipEngine::recordMatchingTable(const PeerMessage& message)
{
    if (message.membershipDigest == m_members.digest().combined())
        m_members.onSameTable();
}

void GossipEngine::processDelta(const PeerMessage& message, MonotonicTime now, Commands& commands)
{
    const auto before = m_replica.current();
    const Adoption adoption = m_replica.applyDelta(*message.delta);
    if (adoption == Adoption::Adopted)
        ++m_counters.deltasApplied;
    onAdoption(adoption, before, message.sender, now, commands);
}

bool GossipEngine::keepDelta(const PeerMessage& message, Commands& commands)
{
    const auto& delta = message.delta;
    const auto& current = m_replica.current();
    if (current && current->stamp.offset >= delta->result.offset)
        return false;
    m_pendingDeltas.add(delta);
    if (delta->span)
        commands.emplace_back(AwaitRecords { *delta->span });
    if (!m_pendingDeltas.markSeen(delta->result))
        return false;
    PushContent content;
    content.delta = delta;
    push(content, message.sender, commands);
    return true;
}

void GossipEngine::compareStamps(const PeerMessage& message, bool deltaExpected, MonotonicTime now)
{
    if (m_joining && !message.joining) {
        const auto scope = m_eachNodeReads ? FetchScope::AllButConfiguration : FetchScope::All;
        m_fetch.request({ message.sender, scope, isLocal(message.from) }, std::chrono::milliseconds { 0 }, now);
        return;
    }
    const auto& theirs = message.stamp;
    if (!theirs || (m_replica.current() && m_replica.current()->stamp.offset >= theirs->offset))
        return;
    m_fetch.request({ message.sender, FetchScope::All, isLocal(message.from) }, fetchGrace(deltaExpected), now);
}

std::chrono::milliseconds GossipEngine::fetchGrace(bool deltaExpected) const
{
    const bool hasConfiguration = m_replica.current() != nullptr;
    if (m_eachNodeReads)
        return hasConfiguration ? s_readGrace : s_initialReadGrace;
    return deltaExpected && hasConfiguration ? s_deltaGrace : std::chrono::milliseconds { 0 };
}

bool GossipEngine::isLocal(const NodeName& peer) const
{
    const auto* record = m_members.find(peer);
    return record && record->entry.domain == m_members.self().domain;
}

void GossipEngine::onAdoption(Adoption adoption, const publication::ConfigurationPointer& before, const Endpoint& source, MonotonicTime, Commands& commands)
{
    if (adoption == Adoption::DigestMismatch)
        ++m_counters.digestMismatches;
    if (adoption == Adoption::Conflict)
        ++m_counters.conflicts;
    if (adoption != Adoption::Adopted)
        return;
    if (!m_joining)
        m_fetch.clear();
    notifyWitnesses(source, commands);
    // Where each node reads, several read the same version, and one that came from a peer was forwarded when it came.
    const bool isKnown = m_eachNodeReads && !m_pendingDeltas.markSeen(m_replica.current()->stamp);
    if (before && !isKnown)
        pushChange(before, source, commands);
}

void GossipEngine::pushChange(const publication::ConfigurationPointer& before, const Endpoint& except, Commands& commands)
{
    PushContent content;
    content.delta = m_replica.deltaFrom(before->stamp);
    if (maySend(content.delta))
        push(content, except, commands);
}

void GossipEngine::notifyWitnesses(const Endpoint& except, Commands& commands)
{
    for (const auto* witnesses : { &m_tree.localWitnesses(), &m_tree.remoteWitnesses() }) {
        std::size_t notified = 0;
        for (const auto* it : *witnesses) {
            if (it->liveness == membership::Liveness::Dead || notified == VersionFloorGate::s_notifiedWitnesses)
                continue;
            ++notified;
            if (it->entry.addresses.peer != except)
                commands.emplace_back(SendPush { it->entry.addresses.peer, header() });
        }
    }
}

void GossipEngine::pushNotices(std::vector<moves::TakeBackNotice> notices, const Endpoint& except, Commands& commands)
{
    if (notices.empty())
        return;
    PushContent content;
    content.notices = std::move(notices);
    push(content, except, commands);
    for (std::size_t i = 0; i < s_noticeFanOut; ++i) {
        if (const auto* peer = m_tree.randomPeer(m_random))
            pushTo(peer->addresses.peer, content, commands);
    }
}

void GossipEngine::push(const PushContent& content, const Endpoint& except, Commands& commands)
{
    if (content.empty())
        return;
    for (const auto* it : m_tree.neighbours()) {
        const Endpoint& to = it->addresses.peer;
        if (to == except)
            continue;
        const auto theirs = m_floors.floorOf(to);
        const bool isCurrentThere = content.delta && theirs && theirs->offset >= content.delta->result.offset;
        if (isCurrentThere && content.records.empty() && content.notices.empty())
            continue;
        pushTo(to, content, commands);
    }
}

void GossipEngine::pushTo(const Endpoint& to, const PushContent& content, Commands& commands)
{
    PeerMessage message = header();
    message.membership.records = content.records;
    message.evidence.notices = content.notices;
    message.delta = content.delta;
    commands.emplace_back(SendPush { to, std::move(message) });
}

void GossipEngine::answerComparison(const PeerMessage& message, Commands& commands)
{
    PeerMessage answer = header();
    if (message.membershipBuckets) {
        const auto differing = m_members.digest().differing(*message.membershipBuckets);
        if (differing != 0)
            answer.membershipSummary = m_members.summaryOf(differing, true);
    }
    if (message.membershipSummary) {
        answer.membership.records = m_members.recordsMissingFrom(*message.membershipSummary, s_compareBudget);
        if (message.membershipSummary->answerWanted)
            answer.membershipSummary = m_members.summaryOf(message.membershipSummary->buckets, false);
    }
    if (answer.membershipSummary || !answer.membership.records.empty())
        commands.emplace_back(SendPush { message.sender, std::move(answer) });
}

bool GossipEngine::comparisonDue(const PeerMessage& request, MonotonicTime now)
{
    if (m_joining != request.joining || request.membershipDigest == m_members.digest().combined())
        return false;
    const auto interval = m_members.hasPendingUpdates() ? s_compareIntervalBusy : s_compareInterval;
    if (now - m_comparedAt < interval)
        return false;
    m_comparedAt = now;
    return true;
}

bool GossipEngine::hasNewerThan(const std::optional<publication::ConfigurationStamp>& theirs) const
{
    return m_replica.current() && (!theirs || theirs->offset < m_replica.current()->stamp.offset);
}

PeerMessage GossipEngine::header() const
{
    PeerMessage message;
    message.from = m_members.self().name;
    message.sender = m_members.self().addresses.peer;
    message.stamp = m_replica.stamp();
    message.joining = m_joining;
    message.membershipDigest = m_members.digest().combined();
    message.streamEnds = m_streamEnds.all();
    return message;
}

bool GossipEngine::maySend(const std::shared_ptr<const Delta>& delta) const
{
    return delta && encodedSize(*delta) <= (m_eachNodeReads ? s_deltaBudgetWhenAllRead : s_deltaBudget);
}

std::uint32_t GossipEngine::transmissions() const
{
    return std::max<std::uint32_t>(minTransmissions, static_cast<std::uint32_t>(std::bit_width(m_members.livePeers())));
}

PeerMessage GossipEngine::makeGossipMessage(const Endpoint& receiver, bool includeSelf)
{
    PeerMessage message = header();
    message.versionFloor = m_floors.floorOf(receiver);
    message.membership = m_members.takeUpdates(s_membershipBudget);
    if (includeSelf)
        message.membership.records.push_back(*m_members.find(m_members.self().name));
    message.evidence = m_evidence.take(s_evidenceBudget, transmissions());
    return message;
}

}
