#pragma once

#include "carobpath/distribution/ConfigurationReplica.h"
#include "carobpath/distribution/EvidenceGossip.h"
#include "carobpath/distribution/PeerMessage.h"
#include "carobpath/distribution/PendingDeltas.h"
#include "carobpath/distribution/RelayTree.h"
#include "carobpath/distribution/SnapshotFetch.h"
#include "carobpath/distribution/SnapshotTransferLimit.h"
#include "carobpath/distribution/VersionFloorGate.h"
#include "carobpath/distribution/VersionFloorTable.h"
#include "carobpath/membership/MembershipTable.h"

#include <map>
#include <random>
#include <variant>

namespace carobpath::distribution {

/// Identifies a pending gossip request or snapshot fetch.
using GossipId = std::uint64_t;

/// Send a gossip request. The outcome is reported through \c onReply or \c onFailed.
struct SendGossip {
    GossipId id = 0;
    Endpoint to;
    PeerMessage message;
};

/// Send a one-way message. A later gossip round makes up for a lost one.
struct SendPush {
    Endpoint to;
    PeerMessage message;
};

/// Fetch a snapshot. The outcome is reported through \c onSnapshot, \c onBusy or \c onFailed.
struct FetchSnapshot {
    GossipId id = 0;
    Endpoint from;
    FetchScope scope = FetchScope::All;
};

/// Start or stop reading the log.
struct ReadLog {
    bool enabled = false;
};

/// Activate this version. Only sent once the node has reached its version floor.
struct ActivateConfiguration {
    publication::ConfigurationPointer configuration;
};

struct PublishView {
    std::shared_ptr<const membership::MembershipView> view;
};

/// Report whether this node may serve callers.
struct SetReady {
    bool ready = false;
};

/// Report that a peer knows a stream of the log to reach further than this node does.
struct AdvanceStream {
    StreamEnd reached;
};

/// Report that a peer has forwarded what these records of the log, all configurations, changed. It will be adopted soon.
struct AwaitRecords {
    publication::RecordSpan span;
};

/// Report that what these records of the log, all configurations, changed is adopted, so that they need not be read.
struct SkipRecords {
    publication::RecordSpan span;
};

using Command = std::variant<SendGossip, SendPush, FetchSnapshot, ReadLog, ActivateConfiguration, PublishView, SetReady, AdvanceStream, AwaitRecords, SkipRecords>;
using Commands = std::vector<Command>;

/// Counters since the start of the engine, for metrics.
struct GossipCounters {
    std::uint64_t requests = 0;
    std::uint64_t requestsFailed = 0;
    std::uint64_t snapshotsFetched = 0;
    std::uint64_t snapshotsServed = 0;
    std::uint64_t snapshotsRefused = 0;
    std::uint64_t deltasApplied = 0;
    std::uint64_t digestMismatches = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t pauses = 0;
};

/// The peer protocol of a node: disseminates the configuration, the membership and the evidence, elects the log
/// readers, and decides which configuration is active. Owns no sockets and reads no clock: the caller passes in events
/// with the current time and executes the returned commands.
class GossipEngine {
public:
    static constexpr std::chrono::milliseconds s_tickInterval { 100 };
    /// Mean time between two gossip rounds with a random peer, randomized by up to 20 % in both directions.
    static constexpr std::chrono::milliseconds s_gossipInterval { 1000 };
    static constexpr std::chrono::milliseconds s_membershipInterval { 500 };
    /// Minimum time between two membership views, in general and after a node drains or leaves. The cost of building a view
    /// grows with the fleet.
    static constexpr std::chrono::milliseconds s_viewInterval { 500 };
    static constexpr std::chrono::milliseconds s_urgentViewInterval { 50 };
    /// Minimum time that a starting node looks for peers before it reads the log on its own; up to the same time is added at
    /// random.
    static constexpr std::chrono::milliseconds s_joinTimeout { 3000 };
    /// A gap of at least this length between two ticks means that the process was paused.
    static constexpr std::chrono::milliseconds s_pauseThreshold { 2500 };
    static constexpr std::chrono::milliseconds s_gateInterval { 300 };
    /// Minimum time between two comparisons of digest buckets, without and with updates waiting to be sent.
    static constexpr std::chrono::milliseconds s_compareInterval { 1000 };
    static constexpr std::chrono::milliseconds s_compareIntervalBusy { 3000 };
    /// Number of gossip rounds after which a dead peer is contacted, so that a partitioned fleet merges again.
    static constexpr std::uint32_t s_deadPeerRounds = 8;
    /// Number of gossip rounds after which a seed is contacted, so that partitions that never knew each other merge. Seeds
    /// are contacted less often after the initial rounds, since all nodes share a few seeds.
    static constexpr std::uint32_t s_seedRounds = 64;
    static constexpr std::uint32_t s_initialSeedRounds = 8;
    static constexpr std::uint32_t s_initialPhaseRounds = 64;
    /// Minimum time between two pushes of new evidence. It is short because a verdict may depend on the evidence.
    static constexpr std::chrono::milliseconds s_evidenceInterval { 400 };
    /// Number of random peers that a notice is pushed to in addition to the neighbours.
    static constexpr std::size_t s_noticeFanOut = 2;
    /// Number of random peers that the end of a stream is pushed to in addition to the neighbours. The neighbours alone do not
    /// suffice: a connection to one of them that fell silent would cut off a part of the relay tree.
    static constexpr std::size_t s_streamEndFanOut = 4;
    static constexpr std::size_t s_membershipBudget = 4096;
    static constexpr std::size_t s_evidenceBudget = 2048;
    static constexpr std::size_t s_compareBudget = 32768;
    /// Maximum size of a delta that is sent without a request, in general and if every node reads the configuration itself. The
    /// latter is small, since a delta goes to all neighbours over the link that carries calls.
    static constexpr std::size_t s_deltaBudget = 262144;
    static constexpr std::size_t s_deltaBudgetWhenAllRead = 32768;
    /// After a forwarded version was put into force, the next one waits this many times as long as that took, and no longer than
    /// \c s_longestActivationWait.
    static constexpr int s_activationWaitFactor = 5;
    static constexpr std::chrono::milliseconds s_longestActivationWait { 500 };
    static constexpr std::size_t s_maxOutstanding = 256;
    static constexpr std::size_t s_maxSeeds = 64;
    /// Time to wait for a pushed delta before the full set is fetched instead.
    static constexpr std::chrono::milliseconds s_deltaGrace { 500 };
    /// Time to wait for this node's own read of the configuration before it is fetched from a peer, in general and if the
    /// node has no configuration yet.
    static constexpr std::chrono::milliseconds s_readGrace { 1400 };
    static constexpr std::chrono::milliseconds s_initialReadGrace { 700 };

    /// \param self the entry of this node; its revision identifies this incarnation of the process.
    GossipEngine(membership::NodeEntry self, std::vector<Endpoint> seeds, SetDigest, EvidencePort, std::mt19937_64, MonotonicTime now);

    /// Sets whether every node reads the configuration from a store that notifies all of them of a new version at once.
    /// Only what a version changes is then forwarded, and only if it is small. A node fetches a whole set from a peer only if its
    /// own read is late: some hundred kilobytes that each node sends to its neighbours would saturate a link of 10 Mbit/s for
    /// seconds.
    void setEachNodeReads(bool each) { m_eachNodeReads = each; }

    /// Must be called every \c s_tickInterval.
    Commands tick(MonotonicTime now);

    /// Handles a gossip request of a peer. \returns the reply to send.
    PeerMessage onGossip(const PeerMessage& request, MonotonicTime now, Commands&);
    Commands onReply(GossipId, const PeerMessage& reply, MonotonicTime now);
    Commands onPush(const PeerMessage&, MonotonicTime now);
    /// Reports that a request or a fetch got no reply in time or an invalid one.
    Commands onFailed(GossipId, MonotonicTime now);
    /// Handles a snapshot request. \returns nothing if this node is still joining or already serves too many peers.
    std::optional<StateSnapshot> onFetch(FetchScope, MonotonicTime now);
    Commands onSnapshot(GossipId, const StateSnapshot&, MonotonicTime now);
    /// Reports that the peer refused a snapshot because it serves too many others.
    Commands onBusy(GossipId, MonotonicTime now);

    /// Reports a version that this node replayed from the log.
    /// \param span the records that led to it, if they are all configurations.
    Commands onLogAdvanced(publication::ConfigurationPointer, MonotonicTime now, const std::optional<publication::RecordSpan>& span = std::nullopt);
    /// Reports how long it took to put a version into force that a peer had forwarded.
    void onActivated(std::chrono::nanoseconds took, MonotonicTime now);
    /// Reports that this node has read the log to its end.
    Commands onLogEnd(MonotonicTime now);

    /// Reports how far this node knows a stream to reach. What is new is pushed on at once, since the reads of other nodes may
    /// not deliver it, and they may have no other way to notice.
    Commands onStreamEnd(const StreamEnd&);

    /// Adds seeds found after the start; only the latest are kept. Immediately contacts each seed that is not known to be
    /// alive: if all nodes start at the same time, none has joined yet and none can serve a snapshot.
    Commands addSeeds(const std::vector<Endpoint>&);

    /// Reports an announcement of the local backend server, or nothing if it is gone.
    Commands setUpstream(std::optional<membership::Upstream>, MonotonicTime now);
    /// Announces that this node is stopping.
    Commands leave(MonotonicTime now);
    /// Reports the outcome of a call to another node.
    Commands onCall(const NodeName&, bool succeeded, MonotonicTime now);
    /// Reports that the evidence source has a notice that must be sent before the next tick.
    Commands onEvidenceChanged(MonotonicTime now);

    bool ready() const { return m_ready; }
    const ConfigurationReplica& replica() const { return m_replica; }
    const VersionFloorGate& floorGate() const { return m_gate; }
    /// \returns the most recently published view.
    const std::shared_ptr<const membership::MembershipView>& currentView() const { return m_view; }
    const membership::MembershipTable& members() const { return m_members; }
    const GossipCounters& counters() const { return m_counters; }

private:
    struct Outstanding {
        /// Empty if only the address is known, or if the outcome must not count against the peer.
        NodeName peer;
        bool isSnapshot = false;
    };
    struct PushContent {
        std::vector<membership::NodeRecord> records;
        std::vector<moves::TakeBackNotice> notices;
        std::shared_ptr<const Delta> delta;
        bool empty() const { return records.empty() && notices.empty() && !delta; }
    };

    void detectPause(MonotonicTime now);
    void tickMembership(MonotonicTime now, Commands&);
    void tickGossip(MonotonicTime now, Commands&);
    /// Sends evidence more often than the gossip rounds, since it is only useful while its move is active, possibly for just
    /// ten seconds.
    void tickEvidence(MonotonicTime now, Commands&);
    void tickGate(MonotonicTime now, Commands&);
    void queryWitnesses(const std::vector<const membership::KnownNode*>&, Commands&);
    void tickFetch(MonotonicTime now, Commands&);
    void tickDeltas(MonotonicTime now, Commands&);
    void tickRole(MonotonicTime now, Commands&);

    void sendGossip(const Endpoint&, const NodeName&, Commands&);
    void sendGossipToSeed(Commands&);
    void pushSelf(Commands&);
    void pushTo(const Endpoint&, const PushContent&, Commands&);
    /// Sends to all neighbours in the relay tree except one.
    void push(const PushContent&, const Endpoint& except, Commands&);
    void notifyWitnesses(const Endpoint& except, Commands&);
    void pushNotices(std::vector<moves::TakeBackNotice>, const Endpoint& except, Commands&);

    PeerMessage header() const;
    bool maySend(const std::shared_ptr<const Delta>&) const;
    /// \returns the number of times that an evidence entry is sent before it is dropped from the queue.
    std::uint32_t transmissions() const;
    /// \param includeSelf whether to include this node's own record, since the receiver may not know it yet.
    PeerMessage makeGossipMessage(const Endpoint& receiver, bool includeSelf);
    bool isKnownAlive(const Endpoint& peer) const;
    void processMessage(const PeerMessage&, MonotonicTime now, Commands&);
    void recordMatchingTable(const PeerMessage&);
    void recordFloor(const PeerMessage&);
    void processDelta(const PeerMessage&, MonotonicTime now, Commands&);
    /// Keeps a delta until the next tick, and forwards it if it is news.
    /// \returns whether it was forwarded.
    bool keepDelta(const PeerMessage&, Commands&);
    /// Forwards what the version that was adopted changes.
    void pushChange(const publication::ConfigurationPointer& before, const Endpoint& except, Commands&);
    void compareStamps(const PeerMessage&, bool deltaExpected, MonotonicTime now);
    /// \returns the time to wait before a newer configuration is fetched from a peer.
    std::chrono::milliseconds fetchGrace(bool deltaExpected) const;
    bool isLocal(const NodeName&) const;
    /// \returns whether an end of a stream was news.
    bool processStreamEnds(const PeerMessage&, Commands&);
    /// Sends the known ends of streams to some random peers, and to the neighbours in the relay tree if they are not told otherwise.
    void pushStreamEnds(const Endpoint& except, bool neighboursKnow, Commands&);
    void answerComparison(const PeerMessage&, Commands&);
    void onAdoption(Adoption, const publication::ConfigurationPointer& before, const Endpoint& source, MonotonicTime now, Commands&);
    bool comparisonDue(const PeerMessage& request, MonotonicTime now);
    bool hasNewerThan(const std::optional<publication::ConfigurationStamp>&) const;
    bool viewDue(MonotonicTime now) const;
    void publishState(MonotonicTime now, Commands&);

    std::vector<Endpoint> m_seeds;
    std::mt19937_64 m_random;
    membership::MembershipTable m_members;
    ConfigurationReplica m_replica;
    PendingDeltas m_pendingDeltas;
    MonotonicTime m_activationAt;
    VersionFloorTable m_floors;
    VersionFloorGate m_gate;
    RelayTree m_tree;
    SnapshotTransferLimit m_slots;
    SnapshotFetch m_fetch;
    EvidenceGossip m_evidence;
    StreamEnds m_streamEnds;
    GossipCounters m_counters;

    MonotonicTime m_startedAt;
    MonotonicTime m_lastTick;
    MonotonicTime m_membershipAt;
    MonotonicTime m_nextGossipAt;
    MonotonicTime m_evidenceAt;
    MonotonicTime m_gateAt;
    MonotonicTime m_comparedAt;
    MonotonicTime m_viewAt;
    std::chrono::milliseconds m_joinTimeout;
    std::uint32_t m_gossipRound = 0;
    GossipId m_lastId = 0;
    std::map<GossipId, Outstanding> m_outstanding;
    bool m_eachNodeReads = false;
    bool m_joining = true;
    bool m_isViewUrgent = false;
    bool m_receivedFromPeer = false;
    /// A message arrived from a peer that has itself joined, so this node can start without reading the log.
    bool m_receivedFromJoinedPeer = false;
    bool m_reading = false;
    bool m_ready = false;
    std::shared_ptr<const membership::MembershipView> m_view;
    publication::ConfigurationPointer m_active;
};

}
