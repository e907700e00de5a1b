#pragma once

#include "carobpath/distribution/ConfigurationReplica.h"
#include "carobpath/distribution/EvidenceGossip.h"
#include "carobpath/distribution/PeerMessage.h"
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

/// Names one request of the exchange until its end.
using GossipId = std::uint64_t;

/// Send a request; its end is reported by \c onReply or \c onFailed.
struct SendGossip {
    GossipId id = 0;
    Endpoint to;
    PeerMessage message;
};

/// Send a message that needs no answer; a loss is made good by the exchange.
struct SendPush {
    Endpoint to;
    PeerMessage message;
};

/// Fetch the whole state; its end is reported by \c onSnapshot, \c onBusy or \c onFailed.
struct FetchSnapshot {
    GossipId id = 0;
    Endpoint from;
    FetchScope scope = FetchScope::All;
};

/// Start or stop reading the log.
struct ReadLog {
    bool enabled = false;
};

/// This version is in force from now on: the node has reached its floor.
struct ActivateConfiguration {
    publication::ConfigurationPointer configuration;
};

struct PublishView {
    std::shared_ptr<const membership::MembershipView> view;
};

/// Whether this node may serve callers.
struct SetReady {
    bool ready = false;
};

using Command = std::variant<SendGossip, SendPush, FetchSnapshot, ReadLog, ActivateConfiguration, PublishView, SetReady>;
using Commands = std::vector<Command>;

/// What an exchange did since its start, for metrics.
struct GossipCounters {
    std::uint64_t exchanges = 0;
    std::uint64_t exchangesFailed = 0;
    std::uint64_t snapshotsFetched = 0;
    std::uint64_t snapshotsServed = 0;
    std::uint64_t snapshotsRefused = 0;
    std::uint64_t deltasApplied = 0;
    std::uint64_t digestMismatches = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t pauses = 0;
};

/// Ties what a node does with its peers: spreads the configuration, the membership and the evidence, elects the
/// readers of the log, and says what is in force. Holds no socket and reads no clock: events go in with the time,
/// commands come out.
class GossipEngine {
public:
    static constexpr std::chrono::milliseconds s_tickInterval { 100 };
    /// Time between two comparisons with a random peer; drawn within a fifth around it.
    static constexpr std::chrono::milliseconds s_exchangeInterval { 1000 };
    static constexpr std::chrono::milliseconds s_membershipInterval { 500 };
    /// Shortest time between two views, and the same where a node drains or leaves. Making one costs with the fleet.
    static constexpr std::chrono::milliseconds s_viewInterval { 500 };
    static constexpr std::chrono::milliseconds s_urgentViewInterval { 50 };
    /// Time that a starting node looks for peers before it reads the log.
    static constexpr std::chrono::milliseconds s_loneStart { 3000 };
    /// A longer time between two ticks means that the process was paused.
    static constexpr std::chrono::milliseconds s_pauseGap { 2500 };
    static constexpr std::chrono::milliseconds s_gateInterval { 300 };
    /// Shortest time between two comparisons of buckets, with and without news under way.
    static constexpr std::chrono::milliseconds s_compareInterval { 1000 };
    static constexpr std::chrono::milliseconds s_compareIntervalBusy { 3000 };
    /// Every so many exchanges a dead peer is tried, so that two halves of the fleet find each other.
    static constexpr std::uint32_t s_deadPeerEvery = 8;
    /// The same for a seed, for halves that never knew each other; rare after a node's first rounds, since all nodes share
    /// few seeds.
    static constexpr std::uint32_t s_seedEvery = 64;
    static constexpr std::uint32_t s_seedEveryAtFirst = 8;
    static constexpr std::uint32_t s_firstRounds = 64;
    /// Shortest time between two pushes of evidence that is new; a verdict may wait for it.
    static constexpr std::chrono::milliseconds s_evidenceInterval { 400 };
    /// Random peers that a notice is pushed to besides the neighbours.
    static constexpr std::size_t s_noticeFanOut = 2;
    static constexpr std::size_t s_membershipBudget = 4096;
    static constexpr std::size_t s_evidenceBudget = 2048;
    static constexpr std::size_t s_compareBudget = 32768;
    /// Largest delta that is sent unasked, and the same where every node reads the configuration itself.
    static constexpr std::size_t s_deltaBudget = 262144;
    static constexpr std::size_t s_deltaBudgetOfReaders = 4096;
    static constexpr std::size_t s_maxOutstanding = 256;
    static constexpr std::size_t s_maxSeeds = 64;
    /// Time that a pushed delta has before the whole set is fetched in its place.
    static constexpr std::chrono::milliseconds s_deltaGrace { 500 };
    /// Time that this node's own reading has before it fetches the configuration from a peer, and the same where it holds
    /// none at all.
    static constexpr std::chrono::milliseconds s_readGrace { 1400 };
    static constexpr std::chrono::milliseconds s_firstReadGrace { 700 };

    /// \param self the entry of this node; its revision names this life of the process.
    GossipEngine(membership::NodeEntry self, std::vector<Endpoint> seeds, SetDigest, EvidencePort, std::mt19937_64, MonotonicTime now);

    /// Every node reads the configuration from a store that tells them all of a version at once. Then versions are not
    /// pushed, and a node fetches one from a peer only where its own reading stays behind: a set of some hundred kilobytes
    /// that each node sends to its neighbours would fill a link of ten megabits for seconds.
    void setEachNodeReads(bool each) { m_eachNodeReads = each; }

    /// Called every \c s_tickInterval.
    Commands tick(MonotonicTime now);

    /// A peer's request. \returns the reply to send.
    PeerMessage onGossip(const PeerMessage& request, MonotonicTime now, Commands&);
    Commands onReply(GossipId, const PeerMessage& reply, MonotonicTime now);
    Commands onPush(const PeerMessage&, MonotonicTime now);
    /// A request or a fetch that got no answer in time, or a broken one.
    Commands onFailed(GossipId, MonotonicTime now);
    /// A peer wants the whole state. \returns nothing where this node serves too many already.
    std::optional<StateSnapshot> onFetch(FetchScope, MonotonicTime now);
    Commands onSnapshot(GossipId, const StateSnapshot&, MonotonicTime now);
    /// The peer serves too many others.
    Commands onBusy(GossipId, MonotonicTime now);

    /// This node folded a version from the log.
    Commands onLogAdvanced(publication::ConfigurationPointer, MonotonicTime now);
    /// This node has read the log to its end.
    Commands onLogEnd(MonotonicTime now);

    /// More nodes to join by, found after the start; the newest are kept. Tells each of them that is not known alive of
    /// this node at once: of nodes that start at one moment none has joined yet, so that none can be asked for the whole.
    Commands addSeeds(const std::vector<Endpoint>&);

    /// The backend server beside this node announced itself, or is gone.
    Commands setUpstream(std::optional<membership::Upstream>, MonotonicTime now);
    /// This node is stopping.
    Commands leave(MonotonicTime now);
    /// A call to another node ended.
    Commands onCall(const NodeName&, bool succeeded, MonotonicTime now);
    /// The store of evidence has a notice that must not wait for the next tick.
    Commands onEvidenceChanged(MonotonicTime now);

    bool ready() const { return m_ready; }
    const ConfigurationReplica& keeper() const { return m_keeper; }
    const VersionFloorGate& gate() const { return m_gate; }
    /// \returns the view published last.
    const std::shared_ptr<const membership::MembershipView>& currentView() const { return m_view; }
    const membership::MembershipTable& members() const { return m_members; }
    const GossipCounters& counters() const { return m_counters; }

private:
    struct Outstanding {
        /// Empty where only the address is known.
        NodeName peer;
        bool whole = false;
    };
    struct PushNews {
        std::vector<membership::NodeRecord> records;
        std::vector<moves::TakeBackNotice> notices;
        std::shared_ptr<const Delta> delta;
        bool empty() const { return records.empty() && notices.empty() && !delta; }
    };

    void noticePause(MonotonicTime now);
    void tickMembership(MonotonicTime now, Commands&);
    void tickExchange(MonotonicTime now, Commands&);
    /// Evidence is only worth something while its move runs, which may be ten seconds.
    void tickEvidence(MonotonicTime now, Commands&);
    void tickGate(MonotonicTime now, Commands&);
    void askWitnesses(const std::vector<const membership::KnownNode*>&, Commands&);
    void tickFetch(MonotonicTime now, Commands&);
    void tickRole(MonotonicTime now, Commands&);

    void sendExchange(const Endpoint&, const NodeName&, Commands&);
    void sendExchangeToSeed(Commands&);
    void pushSelf(Commands&);
    void pushTo(const Endpoint&, const PushNews&, Commands&);
    /// Sends to all neighbours in the tree but one.
    void push(const PushNews&, const Endpoint& except, Commands&);
    void tellWitnesses(const Endpoint& except, Commands&);
    void pushNotices(std::vector<moves::TakeBackNotice>, const Endpoint& except, Commands&);

    PeerMessage header() const;
    bool maySend(const std::shared_ptr<const Delta>&) const;
    /// \returns how often a piece of evidence is sent before it counts as spread.
    std::uint32_t transmissions() const;
    /// \param introduces whether the receiver may not know this node yet.
    PeerMessage withNews(const Endpoint& receiver, bool introduces);
    bool isKnownAlive(const Endpoint& peer) const;
    void take(const PeerMessage&, MonotonicTime now, Commands&);
    void noteSameTable(const PeerMessage&);
    void hearFloor(const PeerMessage&);
    void takeDelta(const PeerMessage&, MonotonicTime now, Commands&);
    void compareStamps(const PeerMessage&, bool deltaExpected, MonotonicTime now);
    /// \returns the time after which a newer configuration of a peer's is fetched.
    std::chrono::milliseconds fetchGrace(bool deltaExpected) const;
    bool isNear(const NodeName&) const;
    void answerComparison(const PeerMessage&, Commands&);
    void adopted(Adoption, const publication::ConfigurationPointer& before, const Endpoint& source, MonotonicTime now, Commands&);
    bool comparisonDue(const PeerMessage& request, MonotonicTime now);
    bool holdsNewerThan(const std::optional<publication::ConfigurationStamp>&) const;
    bool viewDue(MonotonicTime now) const;
    void settle(MonotonicTime now, Commands&);

    std::vector<Endpoint> m_seeds;
    std::mt19937_64 m_random;
    membership::MembershipTable m_members;
    ConfigurationReplica m_keeper;
    VersionFloorTable m_floors;
    VersionFloorGate m_gate;
    RelayTree m_tree;
    SnapshotTransferLimit m_slots;
    SnapshotFetch m_fetch;
    EvidenceGossip m_evidence;
    GossipCounters m_counters;

    MonotonicTime m_startedAt;
    MonotonicTime m_lastTick;
    MonotonicTime m_membershipAt;
    MonotonicTime m_exchangeAt;
    MonotonicTime m_evidenceAt;
    MonotonicTime m_gateAt;
    MonotonicTime m_comparedAt;
    MonotonicTime m_viewAt;
    std::chrono::milliseconds m_loneStart;
    std::uint32_t m_exchangeRound = 0;
    GossipId m_lastId = 0;
    std::map<GossipId, Outstanding> m_outstanding;
    bool m_eachNodeReads = false;
    bool m_joining = true;
    bool m_isViewUrgent = false;
    bool m_heardPeer = false;
    /// A peer was heard that has joined itself, so the log need not be read to start.
    bool m_heardSettled = false;
    bool m_reading = false;
    bool m_ready = false;
    std::shared_ptr<const membership::MembershipView> m_view;
    publication::ConfigurationPointer m_inForce;
};

}
