#include "carobpath/membership/MembershipTable.h"

#include <algorithm>
#include <bit>
#include <unordered_set>

namespace carobpath::membership {

namespace {

    constexpr std::uint32_t minTransmissions = 4;
    /// Suspicions may use this fraction (1/n) of a message's membership budget.
    constexpr std::size_t suspicionBudgetDivisor = 4;

    enum class LoadClass : std::uint8_t {
        Free,
        Waiting,
        Saturated,
    };

    LoadClass loadClass(const Upstream& it)
    {
        if (it.waiting == 0)
            return LoadClass::Free;
        return it.waiting < it.slots ? LoadClass::Waiting : LoadClass::Saturated;
    }

    /// \returns whether two announcements are equal except for the load and small changes of the rate.
    bool sameAnnouncement(const std::optional<Upstream>& a, const std::optional<Upstream>& b)
    {
        if (!a || !b)
            return a.has_value() == b.has_value();
        Upstream other = *b;
        other.inFlight = a->inFlight;
        other.waiting = a->waiting;
        if (!rateChanged(a->callsPerSecond, b->callsPerSecond))
            other.callsPerSecond = a->callsPerSecond;
        return *a == other;
    }

    bool isNewer(const NodeRecord& candidate, const NodeRecord& current)
    {
        if (candidate.entry.revision != current.entry.revision)
            return current.entry.revision < candidate.entry.revision;
        return candidate.dead && !current.dead;
    }

    bool isUrgent(const NodeRecord& it, const std::optional<Upstream>& before)
    {
        return hasEnded(it) || routingChanged(before, it.entry.upstream);
    }

}

MembershipTable::MembershipTable(NodeEntry self, MonotonicTime now)
    : m_self(std::move(self))
    , m_loadHintAt(now)
{
    Entry& known = m_nodes[m_self.name];
    known.record.entry = m_self;
    m_digest.toggle(known.record);
    enqueue(m_self.name);
}

bool MembershipTable::setUpstream(std::optional<Upstream> upstream, MonotonicTime now)
{
    const bool same = sameAnnouncement(m_self.upstream, upstream);
    const bool loadClassChanged = same && upstream && loadClass(*upstream) != loadClass(*m_self.upstream);
    if (same && !(loadClassChanged && now - m_loadHintAt >= s_loadHintInterval))
        return false;
    m_self.upstream = std::move(upstream);
    m_loadHintAt = now;
    reviseSelf();
    return true;
}

void MembershipTable::leave()
{
    if (m_self.leaving)
        return;
    m_self.leaving = true;
    reviseSelf();
}

void MembershipTable::reviseSelf()
{
    ++m_self.revision.sequence;
    Entry& known = m_nodes[m_self.name];
    m_digest.toggle(known.record);
    known.record.entry = m_self;
    known.record.dead = false;
    m_digest.toggle(known.record);
    enqueue(m_self.name);
    m_view.reset();
}

bool MembershipTable::onCallFailed(const NodeName& name, MonotonicTime now)
{
    const auto it = m_nodes.find(name);
    if (it == m_nodes.end())
        return false;
    if (++it->second.failedCalls < s_failedCallsToSuspect)
        return false;
    return suspect(name, now);
}

void MembershipTable::onCallSucceeded(const NodeName& name)
{
    const auto it = m_nodes.find(name);
    if (it == m_nodes.end())
        return;
    it->second.failedCalls = 0;
    if (!m_suspicions.suspected(name))
        return;
    m_suspicions.withdraw(name, m_self.name);
    m_view.reset();
}

bool MembershipTable::onGossipFailed(const NodeName& name, MonotonicTime now)
{
    return suspect(name, now);
}

void MembershipTable::onGossipSucceeded(const NodeName& name)
{
    onCallSucceeded(name);
}

void MembershipTable::onPaused()
{
    m_suspicions.withdrawAll(m_self.name);
    for (auto& [name, known] : m_nodes)
        known.failedCalls = 0;
    m_view.reset();
}

bool MembershipTable::suspect(const NodeName& name, MonotonicTime now)
{
    const auto it = m_nodes.find(name);
    if (name == m_self.name || it == m_nodes.end() || hasEnded(it->second.record))
        return false;
    const Suspicion suspicion { name, it->second.record.entry.revision, m_self.name };
    if (!m_suspicions.add(suspicion, now))
        return false;
    m_pendingSuspicions.put(suspicion, suspicion);
    m_view.reset();
    return true;
}

MergeResult MembershipTable::merge(const MembershipUpdate& update, MonotonicTime now)
{
    MergeResult result;
    for (const auto& it : update.records) {
        if (it.entry.name == m_self.name) {
            onSelfRecord(it);
            continue;
        }
        const auto* current = find(it.entry.name);
        const auto before = current ? current->entry.upstream : std::nullopt;
        if (!accept(it, now))
            continue;
        ++result.newRecords;
        if (isUrgent(it, before))
            result.urgent.push_back(it);
    }
    for (const auto& it : update.suspicions) {
        if (it.subject == m_self.name) {
            if (it.revision >= m_self.revision)
                reviseSelf();
            continue;
        }
        const NodeRecord* subject = find(it.subject);
        if (!subject || hasEnded(*subject) || it.revision < subject->entry.revision || !m_suspicions.add(it, now))
            continue;
        m_pendingSuspicions.put(it, it);
        ++result.newSuspicions;
        m_view.reset();
    }
    return result;
}

bool MembershipTable::accept(const NodeRecord& record, MonotonicTime now)
{
    const auto it = m_nodes.find(record.entry.name);
    if (it != m_nodes.end()) {
        if (!isNewer(record, it->second.record)) {
            if (!isNewer(it->second.record, record))
                m_pendingRecords.onEcho(record.entry.name, s_echoDiscount);
            return false;
        }
        if (it->second.isGossiped)
            m_digest.toggle(it->second.record);
        store(it->second, record, now);
        return true;
    }
    if (m_nodes.size() >= s_maxNodes && !makeRoom())
        return false;
    store(m_nodes[record.entry.name], record, now);
    return true;
}

void MembershipTable::store(Entry& known, const NodeRecord& record, MonotonicTime now)
{
    known.record = record;
    known.isGossiped = true;
    known.failedCalls = 0;
    m_endedAt.erase(record.entry.name);
    if (hasEnded(record))
        m_endedAt.emplace(record.entry.name, now);
    m_digest.toggle(known.record);
    m_suspicions.clear(record.entry.name);
    enqueue(record.entry.name);
    m_view.reset();
}

void MembershipTable::onSelfRecord(const NodeRecord& record)
{
    const Revision& heard = record.entry.revision;
    if (m_self.revision.incarnation < heard.incarnation) {
        if (record.entry.addresses.peer != m_self.addresses.peer && !hasEnded(record)) {
            m_superseded = true;
            return;
        }
        // The wall clock stepped back between two incarnations of this node.
        m_self.revision.incarnation.value = heard.incarnation.value + 1;
        reviseSelf();
        return;
    }
    if (heard.incarnation < m_self.revision.incarnation)
        return;
    const bool stale = m_self.revision < heard || (heard == m_self.revision && record.dead);
    if (!stale)
        return;
    m_self.revision.sequence = std::max(m_self.revision.sequence, heard.sequence);
    reviseSelf();
}

bool MembershipTable::makeRoom()
{
    const auto oldest = std::min_element(m_endedAt.begin(), m_endedAt.end(), [](const auto& x, const auto& y) { return x.second < y.second; });
    if (oldest == m_endedAt.end())
        return false;
    const auto it = m_nodes.find(oldest->first);
    if (it->second.isGossiped)
        m_digest.toggle(it->second.record);
    m_pendingRecords.erase(it->first);
    m_nodes.erase(it);
    m_endedAt.erase(oldest);
    return true;
}

std::vector<NodeRecord> MembershipTable::tick(MonotonicTime now)
{
    std::vector<NodeRecord> deaths;
    const std::size_t observersNeeded = std::clamp<std::size_t>(livePeers(), 1, SuspicionTable::s_observersNeeded);
    for (const auto& name : m_suspicions.subjects()) {
        const auto revision = m_suspicions.dueForDeath(name, observersNeeded, now);
        const NodeRecord* current = find(name);
        if (!revision || !current || current->entry.revision != *revision)
            continue;
        NodeRecord record = *current;
        record.dead = true;
        accept(record, now);
        deaths.push_back(std::move(record));
    }
    if (!m_suspicions.expire(now).empty())
        m_view.reset();
    ageTombstones(now);
    return deaths;
}

void MembershipTable::ageTombstones(MonotonicTime now)
{
    for (auto it = m_endedAt.begin(); it != m_endedAt.end();) {
        const auto node = m_nodes.find(it->first);
        const auto age = now - it->second;
        if (node->second.isGossiped && age >= s_tombstoneLifetime / 2) {
            m_digest.toggle(node->second.record);
            node->second.isGossiped = false;
            m_pendingRecords.erase(it->first);
        }
        if (age < s_tombstoneLifetime) {
            ++it;
            continue;
        }
        m_nodes.erase(node);
        it = m_endedAt.erase(it);
        m_view.reset();
    }
}

void MembershipTable::enqueue(const NodeName& name)
{
    m_pendingRecords.put(name, name);
}

std::uint32_t MembershipTable::transmissions() const
{
    return std::max<std::uint32_t>(minTransmissions, std::bit_width(livePeers()));
}

MembershipUpdate MembershipTable::takeUpdates(std::size_t budget)
{
    MembershipUpdate update;
    update.suspicions = m_pendingSuspicions.take(budget / suspicionBudgetDivisor, transmissions(), [](const Suspicion& it) { return encodedSize(it); });
    const auto names = m_pendingRecords.take(budget - budget / suspicionBudgetDivisor, transmissions(), [this](const NodeName& it) { return encodedSize(m_nodes[it].record); });
    for (const auto& it : names)
        update.records.push_back(m_nodes[it].record);
    return update;
}

bool MembershipTable::isIn(std::uint64_t buckets, const NodeName& name, const Entry& known) const
{
    return known.isGossiped && ((buckets >> TableDigest::bucketOf(name)) & 1U) != 0;
}

RecordSummary MembershipTable::summaryOf(std::uint64_t buckets, bool answerWanted) const
{
    RecordSummary summary { buckets, {}, answerWanted };
    for (const auto& [name, known] : m_nodes) {
        if (isIn(buckets, name, known))
            summary.hashes.push_back(TableDigest::hashOf(known.record));
    }
    return summary;
}

std::vector<NodeRecord> MembershipTable::recordsMissingFrom(const RecordSummary& summary, std::size_t budget) const
{
    const std::unordered_set<std::uint64_t> theirs(summary.hashes.begin(), summary.hashes.end());
    std::vector<NodeRecord> records;
    std::size_t used = 0;
    for (const auto& [name, known] : m_nodes) {
        if (!isIn(summary.buckets, name, known) || theirs.contains(TableDigest::hashOf(known.record)))
            continue;
        used += encodedSize(known.record);
        if (used > budget)
            break;
        records.push_back(known.record);
    }
    return records;
}

std::vector<NodeRecord> MembershipTable::allRecords() const
{
    std::vector<NodeRecord> records;
    records.reserve(m_nodes.size());
    for (const auto& [name, known] : m_nodes) {
        if (known.isGossiped)
            records.push_back(known.record);
    }
    return records;
}

std::shared_ptr<const MembershipView> MembershipTable::view()
{
    if (m_view)
        return m_view;
    auto view = std::make_shared<MembershipView>();
    view->nodes.reserve(m_nodes.size());
    for (const auto& [name, known] : m_nodes) {
        Liveness liveness = m_suspicions.suspected(name) ? Liveness::Suspect : Liveness::Alive;
        if (known.record.dead)
            liveness = Liveness::Dead;
        view->nodes.push_back(KnownNode { known.record.entry, liveness });
    }
    m_view = std::move(view);
    return m_view;
}

const NodeRecord* MembershipTable::find(const NodeName& name) const
{
    const auto it = m_nodes.find(name);
    return it == m_nodes.end() ? nullptr : &it->second.record;
}

}
