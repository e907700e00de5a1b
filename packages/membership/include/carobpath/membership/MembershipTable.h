#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/membership/GossipQueue.h"
#include "carobpath/membership/MembershipUpdate.h"
#include "carobpath/membership/SuspicionTable.h"
#include "carobpath/membership/TableDigest.h"

#include <map>
#include <memory>

namespace carobpath::membership {

/// What a merge found, for the caller to act on.
struct MergeResult {
    /// Records that were news and that others should hear at once: nodes that are leaving or dead, and upstreams that
    /// came, went or changed their state.
    std::vector<NodeRecord> urgent;
    /// Suspicions that were news.
    std::size_t newSuspicions = 0;
    /// Records that were news, urgent or not.
    std::size_t newRecords = 0;
};

/// Soft state of every known node: merges entries by revision, counts suspicion, keeps tombstones, and hands out
/// immutable views. Only the node itself makes revisions of its own entry.
class MembershipTable {
public:
    /// Nodes known at a time, tombstones included.
    static constexpr std::size_t s_maxNodes = 4096;
    /// Time that the entry of a dead or leaving node is kept. During its first half the tombstone is spread.
    static constexpr std::chrono::minutes s_tombstoneLifetime { 120 };
    /// Shortest time between two revisions that were made for a change of load alone.
    static constexpr std::chrono::seconds s_loadHintInterval { 30 };
    /// Transmissions of news that are left out for each peer that is seen to have them already.
    static constexpr std::uint32_t s_savedByEcho = 2;
    /// Calls to a node that fail in a row before this node suspects it.
    static constexpr std::uint32_t s_failedCallsToSuspect = 3;

    /// \param self the entry of this node; its revision names this life of the process.
    MembershipTable(NodeEntry self, MonotonicTime now);

    const NodeEntry& self() const { return m_self; }
    /// True once a later life of this node was seen at another address: this process was replaced.
    bool superseded() const { return m_superseded; }

    /// Takes an announcement of the backend server; nothing where it is gone.
    /// A change of load alone is spread rarely. \returns whether a new revision was made.
    bool setUpstream(std::optional<Upstream>, MonotonicTime now);
    /// Marks this node as leaving.
    void leave();

    /// Passive evidence of calls and exchanges. \returns whether this node suspects the other one from now on.
    bool onCallFailed(const NodeName&, MonotonicTime now);
    void onCallSucceeded(const NodeName&);
    bool onExchangeFailed(const NodeName&, MonotonicTime now);
    void onExchangeSucceeded(const NodeName&);
    /// This process did not run for a while, so what it holds against others means nothing.
    void onPaused();

    MergeResult merge(const MembershipUpdate&, MonotonicTime now);
    /// Declares deaths, forgets expired suspicions and tombstones. \returns the deaths declared.
    std::vector<NodeRecord> tick(MonotonicTime now);

    /// \returns news for one message, bounded by bytes.
    MembershipUpdate takeNews(std::size_t budget);
    /// A peer's table has the same digest, so the news have reached it.
    void onSameTable() { m_recordNews.allHeardAgain(s_savedByEcho); }
    bool hasNews() const { return m_recordNews.size() > 0; }
    std::size_t newsWaiting() const { return m_recordNews.size(); }
    const TableDigest& digest() const { return m_digest; }
    /// \returns the hashes of the records in the buckets.
    RecordSummary summaryOf(std::uint64_t buckets, bool answerWanted) const;
    /// \returns the records that a summary lacks, bounded by bytes.
    std::vector<NodeRecord> recordsLackingIn(const RecordSummary&, std::size_t budget) const;
    /// \returns every record that is still spread.
    std::vector<NodeRecord> allRecords() const;

    /// \returns the view for routing; the same pointer until something changed.
    std::shared_ptr<const MembershipView> view();
    /// Known nodes other than this one that are neither dead nor leaving.
    std::size_t livePeers() const { return m_nodes.size() - m_endedAt.size() - 1; }
    const NodeRecord* find(const NodeName&) const;

private:
    struct Known {
        NodeRecord record;
        /// False for a tombstone in the second half of its life.
        bool spread = true;
        std::uint32_t failedCalls = 0;
    };
    using Nodes = std::map<NodeName, Known>;

    void reviseSelf();
    bool accept(const NodeRecord&, MonotonicTime now);
    void hearOfSelf(const NodeRecord&);
    bool makeRoom();
    bool suspect(const NodeName&, MonotonicTime now);
    void store(Known&, const NodeRecord&, MonotonicTime now);
    void spread(const NodeName&);
    bool isIn(std::uint64_t buckets, const NodeName&, const Known&) const;
    void ageTombstones(MonotonicTime now);
    std::uint32_t transmissions() const;

    NodeEntry m_self;
    bool m_superseded = false;
    MonotonicTime m_loadHintAt;
    Nodes m_nodes;
    SuspicionTable m_suspicions;
    TableDigest m_digest;
    GossipQueue<NodeName, NodeName> m_recordNews { s_maxNodes };
    GossipQueue<Suspicion, Suspicion> m_suspicionNews { 256 };
    std::shared_ptr<const MembershipView> m_view;
    /// The tombstones, and when the entries became ones.
    std::map<NodeName, MonotonicTime> m_endedAt;
};

/// \returns whether a node takes no more work and no more part in elections.
constexpr bool hasEnded(const NodeRecord& it) { return it.dead || it.entry.leaving; }

}
