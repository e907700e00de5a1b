#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/membership/GossipQueue.h"
#include "carobpath/membership/MembershipUpdate.h"
#include "carobpath/membership/SuspicionTable.h"
#include "carobpath/membership/TableDigest.h"

#include <map>
#include <memory>

namespace carobpath::membership {

/// Result of a merge, for the caller to act on.
struct MergeResult {
    /// New records to forward at once: nodes that are leaving or dead, and upstreams that were added, removed or changed
    /// their version or state.
    std::vector<NodeRecord> urgent;
    /// Number of suspicions that were new.
    std::size_t newSuspicions = 0;
    /// Number of records that were new, urgent or not.
    std::size_t newRecords = 0;
};

/// Soft state of all known nodes: merges entries by revision, counts suspicions, keeps tombstones, and provides immutable
/// views. Only a node itself creates new revisions of its entry.
class MembershipTable {
public:
    /// Maximum number of nodes, including tombstones.
    static constexpr std::size_t s_maxNodes = 4096;
    /// Time that the entry of a dead or leaving node is kept. The tombstone is sent to peers during the first half only.
    static constexpr std::chrono::minutes s_tombstoneLifetime { 120 };
    /// Minimum time since the last upstream revision before a revision that only reports a change of load.
    static constexpr std::chrono::seconds s_loadHintInterval { 30 };
    /// Number of transmissions of an update that are skipped for each peer that already has it.
    static constexpr std::uint32_t s_echoDiscount = 2;
    /// Number of consecutive failed calls after which a node is suspected.
    static constexpr std::uint32_t s_failedCallsToSuspect = 3;

    /// \param self the entry of this node; its revision identifies this incarnation of the process.
    MembershipTable(NodeEntry self, MonotonicTime now);

    const NodeEntry& self() const { return m_self; }
    /// \returns whether a later incarnation of this node was seen at another address, so that this process was replaced.
    bool superseded() const { return m_superseded; }

    /// Sets the announced state of the backend server; empty if it is gone. A change of load alone is rarely sent to
    /// peers. \returns whether a new revision was created.
    bool setUpstream(std::optional<Upstream>, MonotonicTime now);
    /// Marks this node as leaving.
    void leave();

    /// Report outcomes of calls and gossip requests. \returns whether this node now starts to suspect the other one.
    bool onCallFailed(const NodeName&, MonotonicTime now);
    void onCallSucceeded(const NodeName&);
    bool onGossipFailed(const NodeName&, MonotonicTime now);
    void onGossipSucceeded(const NodeName&);
    /// Withdraws this node's own suspicions: the process was paused, so the failures that it saw are meaningless.
    void onPaused();

    MergeResult merge(const MembershipUpdate&, MonotonicTime now);
    /// Declares nodes dead and removes expired suspicions and tombstones. \returns the records of the nodes declared dead.
    std::vector<NodeRecord> tick(MonotonicTime now);

    /// \returns pending updates for one message, limited to \c budget bytes.
    MembershipUpdate takeUpdates(std::size_t budget);
    /// Records that a peer's table has the same digest, so the pending updates have reached it.
    void onSameTable() { m_pendingRecords.onEchoForAll(s_echoDiscount); }
    bool hasPendingUpdates() const { return m_pendingRecords.size() > 0; }
    std::size_t pendingUpdates() const { return m_pendingRecords.size(); }
    const TableDigest& digest() const { return m_digest; }
    /// \returns the hashes of the records in the buckets.
    RecordSummary summaryOf(std::uint64_t buckets, bool answerWanted) const;
    /// \returns the records that are missing from a summary, limited to \c budget bytes.
    std::vector<NodeRecord> recordsMissingFrom(const RecordSummary&, std::size_t budget) const;
    /// \returns all records that are still sent to peers.
    std::vector<NodeRecord> allRecords() const;

    /// \returns the view for routing. The pointer stays the same until the membership changes.
    std::shared_ptr<const MembershipView> view();
    /// \returns the number of other nodes that are neither dead nor leaving.
    std::size_t livePeers() const { return m_nodes.size() - m_endedAt.size() - 1; }
    const NodeRecord* find(const NodeName&) const;

private:
    struct Entry {
        NodeRecord record;
        /// False for a tombstone in the second half of its lifetime.
        bool isGossiped = true;
        std::uint32_t failedCalls = 0;
    };
    using Nodes = std::map<NodeName, Entry>;

    void reviseSelf();
    bool accept(const NodeRecord&, MonotonicTime now);
    void onSelfRecord(const NodeRecord&);
    bool makeRoom();
    bool suspect(const NodeName&, MonotonicTime now);
    void store(Entry&, const NodeRecord&, MonotonicTime now);
    void enqueue(const NodeName&);
    bool isIn(std::uint64_t buckets, const NodeName&, const Entry&) const;
    void ageTombstones(MonotonicTime now);
    std::uint32_t transmissions() const;

    NodeEntry m_self;
    bool m_superseded = false;
    MonotonicTime m_loadHintAt;
    Nodes m_nodes;
    SuspicionTable m_suspicions;
    TableDigest m_digest;
    GossipQueue<NodeName, NodeName> m_pendingRecords { s_maxNodes };
    GossipQueue<Suspicion, Suspicion> m_pendingSuspicions { 256 };
    std::shared_ptr<const MembershipView> m_view;
    /// Tombstones and the times at which they were created.
    std::map<NodeName, MonotonicTime> m_endedAt;
};

/// \returns whether a node is dead or leaving, so that it gets no more work and is not eligible in elections.
constexpr bool hasEnded(const NodeRecord& it) { return it.dead || it.entry.leaving; }

}
