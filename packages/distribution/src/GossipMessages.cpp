// What an exchange sends to its peers, and what it takes from them.
#include "carobpath/distribution/GossipEngine.h"

#include <algorithm>
#include <bit>

namespace carobpath::distribution {

namespace {

    constexpr std::uint32_t minTransmissions = 4;

}

PeerMessage GossipEngine::onGossip(const PeerMessage& request, MonotonicTime now, Commands& commands)
{
    take(request, now, commands);
    hearFloor(request);
    noteSameTable(request);
    PeerMessage reply = withNews(request.sender, m_joining || request.joining);
    if (request.stamp && holdsNewerThan(request.stamp)) {
        const auto delta = m_keeper.deltaFrom(*request.stamp);
        if (maySend(delta))
            reply.delta = delta;
    }
    if (comparisonDue(request, now))
        reply.membershipBuckets = m_members.digest().buckets();
    settle(now, commands);
    return reply;
}

Commands GossipEngine::onReply(GossipId id, const PeerMessage& reply, MonotonicTime now)
{
    Commands commands;
    if (m_outstanding.erase(id) == 0)
        return commands;
    take(reply, now, commands);
    hearFloor(reply);
    noteSameTable(reply);
    if (reply.stamp && holdsNewerThan(reply.stamp)) {
        PushNews news;
        news.delta = m_keeper.deltaFrom(*reply.stamp);
        if (maySend(news.delta))
            pushTo(reply.sender, news, commands);
    }
    answerComparison(reply, commands);
    settle(now, commands);
    return commands;
}

Commands GossipEngine::onPush(const PeerMessage& message, MonotonicTime now)
{
    Commands commands;
    take(message, now, commands);
    answerComparison(message, commands);
    settle(now, commands);
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
    if (ended.whole)
        m_fetch.onEnded(false, now, m_random);
    else
        ++m_counters.exchangesFailed;
    if (!ended.peer.empty()) {
        m_members.onExchangeFailed(ended.peer, now);
        m_gate.onFailed(ended.peer);
    }
    settle(now, commands);
    return commands;
}

std::optional<StateSnapshot> GossipEngine::onFetch(FetchScope scope, MonotonicTime now)
{
    if (m_joining || !m_slots.tryStart(now)) {
        ++m_counters.snapshotsRefused;
        return std::nullopt;
    }
    ++m_counters.snapshotsServed;
    const auto configuration = scope == FetchScope::All ? m_keeper.held() : nullptr;
    return StateSnapshot { configuration, m_members.allRecords(), m_evidence.snapshot() };
}

Commands GossipEngine::onSnapshot(GossipId id, const StateSnapshot& state, MonotonicTime now)
{
    Commands commands;
    if (m_outstanding.erase(id) == 0)
        return commands;
    ++m_counters.snapshotsFetched;
    m_joining = false;
    // Roles and witnesses must not be chosen among the few nodes known before.
    m_viewAt = now - s_viewInterval;
    membership::MembershipUpdate update;
    update.records = state.records;
    m_members.merge(update, now);
    pushNotices(m_evidence.merge(state.evidence), Endpoint {}, commands);
    Adoption adoption = Adoption::AlreadyHeld;
    const auto before = m_keeper.held();
    if (state.configuration)
        adoption = m_keeper.adoptWhole(state.configuration);
    m_fetch.onEnded(adoption != Adoption::DigestMismatch, now, m_random);
    adopted(adoption, before, Endpoint {}, now, commands);
    settle(now, commands);
    return commands;
}

Commands GossipEngine::onBusy(GossipId id, MonotonicTime now)
{
    return onFailed(id, now);
}

void GossipEngine::take(const PeerMessage& message, MonotonicTime now, Commands& commands)
{
    if (message.from == m_members.self().name)
        return;
    m_heardPeer = true;
    m_heardSettled = m_heardSettled || !message.joining;
    m_members.onExchangeSucceeded(message.from);
    if (message.stamp)
        m_floors.record(message.sender, *message.stamp);
    const auto merged = m_members.merge(message.membership, now);
    PushNews news;
    news.records = merged.urgent;
    m_isViewUrgent = m_isViewUrgent || !merged.urgent.empty();
    push(news, message.sender, commands);
    pushNotices(m_evidence.merge(message.evidence), message.sender, commands);
    const bool hadDelta = message.delta != nullptr;
    if (hadDelta)
        takeDelta(message, now, commands);
    compareStamps(message, !hadDelta, now);
}

void GossipEngine::hearFloor(const PeerMessage& message)
{
    // A node that starts waits for what its witnesses hold too: they may have lost the memory of its address.
    const bool theirsIsHigher = message.stamp && (!message.versionFloor || message.versionFloor->offset < message.stamp->offset);
    const bool starting = !m_gate.confirmed();
    m_gate.onHeard(message.from, starting && theirsIsHigher ? message.stamp : message.versionFloor);
}

void GossipEngine::noteSameTable(const PeerMessage& message)
{
    if (message.membershipDigest == m_members.digest().combined())
        m_members.onSameTable();
}

void GossipEngine::takeDelta(const PeerMessage& message, MonotonicTime now, Commands& commands)
{
    const auto before = m_keeper.held();
    const Adoption adoption = m_keeper.applyDelta(*message.delta);
    if (adoption == Adoption::Adopted)
        ++m_counters.deltasApplied;
    adopted(adoption, before, message.sender, now, commands);
}

void GossipEngine::compareStamps(const PeerMessage& message, bool deltaExpected, MonotonicTime now)
{
    if (m_joining && !message.joining) {
        const auto scope = m_eachNodeReads ? FetchScope::AllButConfiguration : FetchScope::All;
        m_fetch.want({ message.sender, scope, isNear(message.from) }, std::chrono::milliseconds { 0 }, now);
        return;
    }
    const auto& theirs = message.stamp;
    if (!theirs || (m_keeper.held() && m_keeper.held()->stamp.offset >= theirs->offset))
        return;
    m_fetch.want({ message.sender, FetchScope::All, isNear(message.from) }, fetchGrace(deltaExpected), now);
}

std::chrono::milliseconds GossipEngine::fetchGrace(bool deltaExpected) const
{
    const bool holdsOne = m_keeper.held() != nullptr;
    if (m_eachNodeReads)
        return holdsOne ? s_readGrace : s_firstReadGrace;
    return deltaExpected && holdsOne ? s_deltaGrace : std::chrono::milliseconds { 0 };
}

bool GossipEngine::isNear(const NodeName& peer) const
{
    const auto* record = m_members.find(peer);
    return record && record->entry.domain == m_members.self().domain;
}

void GossipEngine::adopted(Adoption adoption, const publication::ConfigurationPointer& before, const Endpoint& source, MonotonicTime, Commands& commands)
{
    if (adoption == Adoption::DigestMismatch)
        ++m_counters.digestMismatches;
    if (adoption == Adoption::Conflict)
        ++m_counters.conflicts;
    if (adoption != Adoption::Adopted)
        return;
    if (!m_joining)
        m_fetch.satisfied();
    tellWitnesses(source, commands);
    if (!before || m_eachNodeReads)
        return;
    PushNews news;
    news.delta = m_keeper.deltaFrom(before->stamp);
    if (maySend(news.delta))
        push(news, source, commands);
}

void GossipEngine::tellWitnesses(const Endpoint& except, Commands& commands)
{
    for (const auto* witnesses : { &m_tree.ownWitnesses(), &m_tree.otherWitnesses() }) {
        std::size_t told = 0;
        for (const auto* it : *witnesses) {
            if (it->liveness == membership::Liveness::Dead || told == VersionFloorGate::s_told)
                continue;
            ++told;
            if (it->entry.addresses.peer != except)
                commands.emplace_back(SendPush { it->entry.addresses.peer, header() });
        }
    }
}

void GossipEngine::pushNotices(std::vector<moves::TakeBackNotice> notices, const Endpoint& except, Commands& commands)
{
    if (notices.empty())
        return;
    PushNews news;
    news.notices = std::move(notices);
    push(news, except, commands);
    for (std::size_t i = 0; i < s_noticeFanOut; ++i) {
        if (const auto* peer = m_tree.randomPeer(m_random))
            pushTo(peer->addresses.peer, news, commands);
    }
}

void GossipEngine::push(const PushNews& news, const Endpoint& except, Commands& commands)
{
    if (news.empty())
        return;
    for (const auto* it : m_tree.neighbours()) {
        const Endpoint& to = it->addresses.peer;
        if (to == except)
            continue;
        const auto theirs = m_floors.floorOf(to);
        const bool heldThere = news.delta && theirs && theirs->offset >= news.delta->result.offset;
        if (heldThere && news.records.empty() && news.notices.empty())
            continue;
        pushTo(to, news, commands);
    }
}

void GossipEngine::pushTo(const Endpoint& to, const PushNews& news, Commands& commands)
{
    PeerMessage message = header();
    message.membership.records = news.records;
    message.evidence.notices = news.notices;
    message.delta = news.delta;
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
        answer.membership.records = m_members.recordsLackingIn(*message.membershipSummary, s_compareBudget);
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
    const auto interval = m_members.hasNews() ? s_compareIntervalBusy : s_compareInterval;
    if (now - m_comparedAt < interval)
        return false;
    m_comparedAt = now;
    return true;
}

bool GossipEngine::holdsNewerThan(const std::optional<publication::ConfigurationStamp>& theirs) const
{
    return m_keeper.held() && (!theirs || theirs->offset < m_keeper.held()->stamp.offset);
}

PeerMessage GossipEngine::header() const
{
    PeerMessage message;
    message.from = m_members.self().name;
    message.sender = m_members.self().addresses.peer;
    message.stamp = m_keeper.stamp();
    message.joining = m_joining;
    message.membershipDigest = m_members.digest().combined();
    return message;
}

bool GossipEngine::maySend(const std::shared_ptr<const Delta>& delta) const
{
    return delta && encodedSize(*delta) <= (m_eachNodeReads ? s_deltaBudgetOfReaders : s_deltaBudget);
}

std::uint32_t GossipEngine::transmissions() const
{
    return std::max<std::uint32_t>(minTransmissions, static_cast<std::uint32_t>(std::bit_width(m_members.livePeers())));
}

PeerMessage GossipEngine::withNews(const Endpoint& receiver, bool introduces)
{
    PeerMessage message = header();
    message.versionFloor = m_floors.floorOf(receiver);
    message.membership = m_members.takeNews(s_membershipBudget);
    if (introduces)
        message.membership.records.push_back(*m_members.find(m_members.self().name));
    message.evidence = m_evidence.take(s_evidenceBudget, transmissions());
    return message;
}

}
