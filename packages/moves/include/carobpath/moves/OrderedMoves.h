#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/moves/EvidenceTable.h"
#include "carobpath/moves/MoveCommand.h"
#include "carobpath/moves/OrderedMovePlan.h"
#include "carobpath/moves/ServiceVersions.h"
#include "carobpath/moves/TrafficSplit.h"
#include "carobpath/moves/VersionComparison.h"
#include "carobpath/publication/StoreEra.h"

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace carobpath::moves {

/// An operator's order to move a service's calls to another version.
struct MoveOrder {
    ServiceName service;
    VersionName to;
    std::chrono::milliseconds duration {};
    /// Packed position of the order's record, which identifies the order among those for the service. It changes when the
    /// store comes back from a copy, though the order is the same.
    publication::Offset offset = 0;
};

/// The store's newest record on the move of a service.
struct MoveStatus {
    ServiceName service;
    VersionName to;
    /// \c MoveOrder::offset of the order that this status belongs to.
    publication::Offset order = 0;
    OrderedMoveState state = OrderedMoveState::Running;
    /// Versions of the service when the move was ordered.
    ServiceVersions versions {};
};

/// \returns whether both are the same order to the operator: one may be read again from a store that came back from a copy.
bool isSameOrder(const MoveOrder& earlier, const MoveOrder& later);

/// \returns whether the status is that of the order. A status from an earlier era of the store is, if it names the same version:
/// an order that is repeated only in the later era gets a status of that era from the nodes that knew the first one.
bool isStatusOf(const MoveStatus&, const MoveOrder&);

/// \returns whether the status may be written where the store holds the other one. The state of a later order is kept, and so is
/// the first end of the same one: the writer may have been paused since it decided.
bool mayReplace(const MoveStatus& held, const MoveStatus&);

/// What a node knows of a move when it decides on its state.
struct StatusBasis {
    /// Time since the order.
    std::chrono::milliseconds elapsed {};
    /// Time between the last two ticks: a long one tells that the node was paused.
    std::chrono::milliseconds tickGap {};
    /// Calls to the new version while it got a part of the calls.
    std::uint64_t canaryCalls = 0;
    /// Calls to the new version during the load test, and how many of them are needed.
    std::uint64_t loadTestCalls = 0;
    std::uint64_t loadTestCallsNeeded = 0;
    /// The new version's backend servers refused so many calls that they count as untested.
    bool isMasked = false;
};

/// Write a move's state to the store, unless the store already has a final state for the same order. The command is
/// repeated until \c OrderedMoves::onStatus reports the state.
struct WriteStatus {
    MoveStatus status;
    StatusBasis basis {};
};

using OrderedMoveCommand = std::variant<WriteStatus, BroadcastNotice, TrafficSplitChanged>;

/// Runs, on one node, moves that an operator orders with about ten seconds to the deadline: stores and merges evidence,
/// splits calls, detects regressions, and requests that the state is written. Time is measured on the monotonic clock
/// from the moment at which the node learnt of the order, since wall clocks step and differ between nodes.
///
/// If the store comes back from a copy, what nodes know goes before what it has forgotten: an order that is read again continues its
/// move, one that a known order had replaced stays replaced, and a recorded state is requested to be written again.
///
/// All nodes follow the same plan, so traffic splits are not gossiped. A detected regression is broadcast at once.
class OrderedMoves {
public:
    /// An upstream that serves a version, identified by its node.
    struct ServingUpstream {
        ServiceName service;
        VersionName version;
        NodeName node;
    };

    /// Delay between two ranks of writers, so that usually only one of them writes.
    static constexpr std::chrono::milliseconds s_rankStep { 150 };
    static constexpr std::chrono::milliseconds s_writeRetryInterval { 300 };
    /// A node whose last tick is longer ago was paused. Its split is not used, since the version may have been taken back meanwhile.
    static constexpr std::chrono::milliseconds s_maxTickGap { 1'500 };
    /// Approximate delay of evidence from other nodes. A node that was started or paused lacks some of it for this time, and
    /// concludes nothing from what it has not heard.
    static constexpr std::chrono::milliseconds s_evidenceLag { 1'500 };

    /// Evidence window of the calls while the new version gets a part of the calls.
    static constexpr std::uint32_t s_canaryWindow = 0;
    /// Evidence window of the calls while the new version gets all calls.
    static constexpr std::uint32_t s_fullWindow = 1;
    /// Evidence window of the calls during the load test.
    static constexpr std::uint32_t s_loadTestWindow = 2;
    /// Time between two repetitions of the new version's evidence of the load test, from its end until all calls move. A node that
    /// missed it would take the version for untested.
    static constexpr std::chrono::milliseconds s_repeatInterval { 400 };

    OrderedMoves(NodeName self, Incarnation, const ExposureBound&);

    /// Sets the live nodes, which may all write.
    void onNodes(std::vector<NodeName>);
    void onUpstreams(std::vector<ServingUpstream>);
    /// Adds an order whose state in the store is not known yet. Its version gets no calls until \c onOrder.
    void addPendingOrder(const MoveOrder&);
    /// \param age age of the order, if it was given before this node started
    void onOrder(const MoveOrder&, std::chrono::milliseconds age, MonotonicTime now);
    void onStatus(const MoveStatus&);
    /// Counts a call that this node admitted. Calls to services without a move are ignored.
    /// \param latency empty if it is not representative of the version, for example while the backend server is cold
    void observe(const ServiceName&, const RouteName&, const VersionName&, CallResult, std::optional<std::chrono::nanoseconds> latency, MonotonicTime now);
    void merge(const EvidenceUpdate&);
    EvidenceUpdate changedSince(EvidenceCursor&) const;
    std::vector<OrderedMoveCommand> tick(MonotonicTime now);
    TrafficSplit trafficSplit(const ServiceName&, MonotonicTime now) const;
    /// \returns whether the status belongs to the newest order of its service.
    bool isCurrent(const MoveStatus&) const;
    /// \returns the versions of the move that the status belongs to, as far as they are known now; if the order of the status was
    /// replaced, the versions of the status.
    ServiceVersions versionsOf(const MoveStatus&) const;
    /// \returns whether the store has no final state yet for some move.
    bool hasUnfinishedMove() const;

private:
    struct Move {
        MoveOrder order;
        OrderedMovePlan plan;
        MonotonicTime startedAt;
        /// Comparisons of each window with all calls of the old version.
        VersionComparison canary;
        VersionComparison full;
        VersionComparison loadTest;
        /// State of this order in the store.
        std::optional<OrderedMoveState> recorded;
        double reportedShare = 0;
        std::optional<OrderedMoveState> wantedState;
        MonotonicTime writeAt;
        /// The store may hold the recorded state no more: it came back from a copy, or a stale writer replaced the state.
        bool isRecordSuspect = false;
        /// Orders of the service that this one replaced, in the order in which they were given.
        std::vector<MoveOrder> replaced;
        /// When the evidence of the load test was last sent again.
        MonotonicTime repeatedAt {};
        /// Versions of the service when this move was ordered.
        ServiceVersions versions {};
        /// \c MoveStatus::order of the state from which \c versions is known; 0 if no move preceded this one.
        publication::Offset versionsAsOf = 0;
    };

    /// Orders of a service that are remembered after they were replaced; the oldest are forgotten first.
    static constexpr std::size_t s_maxReplaced = 16;

    static MoveId idOf(const MoveOrder&);
    /// \returns whether the order was given before the known one, and comes from a store that lost the known one.
    static bool isReplaced(const Move& known, const MoveOrder&);
    /// Derives the versions of a new move from what preceded it: \p known, and the newest status that was read.
    void setVersions(Move&, const Move* known, MonotonicTime now) const;
    /// Takes the versions of the known upstreams, except the ordered one, for those in service.
    void addServingUpstreams(Move&) const;
    /// Derives the versions from a status of the move itself, or of one that preceded it, unless a later one was read before.
    static void updateVersions(Move&, const MoveStatus&);
    /// \returns the state that the move had reached, whether or not it is recorded.
    OrderedMoveState reachedState(const Move&, MonotonicTime now) const;
    /// \returns whether the order names the only version in service, so that the move changes nothing.
    static bool isAlreadyServing(const Move&);
    /// \returns whether the status is of an earlier order than the newest one that was read, or denies the end that was read of the
    /// same order. A stale writer may have put it into the store.
    bool isOutdated(const MoveStatus&) const;
    /// Continues a move whose order was read again in a later era.
    void rebind(Move&, const MoveOrder&, MonotonicTime now);
    std::chrono::milliseconds elapsed(const Move&, MonotonicTime now) const;
    /// \returns whether the store has a final state of the move.
    static bool hasEnded(const Move&);
    bool isTakenBack(const Move&) const;
    /// \returns whether this node has run long enough to have heard what the others saw and decided.
    bool isEvidenceCurrent(MonotonicTime now) const;
    bool takesAllCalls(const Move&, MonotonicTime now) const;
    /// \returns whether the canary and the load test gave this node enough evidence to send all calls to the new version.
    bool hasEnoughEvidence(const Move&, MonotonicTime now) const;
    StatusBasis basisOf(const Move&, MonotonicTime now) const;
    bool isInLoadTest(const Move&, MonotonicTime now) const;
    std::uint32_t windowOf(const Move&, MonotonicTime now) const;
    NodeName loadTestNodeOf(const Move&) const;
    double rateOf(const Move&, MonotonicTime now) const;
    double shareOf(const Move&, MonotonicTime now) const;
    OrderedMoveState stateOf(const Move&, MonotonicTime now) const;
    void repeatLoadTest(Move&, MonotonicTime now);
    void add(const std::vector<EvidenceGrowth>&);
    void findRegression(Move&, std::vector<OrderedMoveCommand>&);
    void requestWrite(Move&, MonotonicTime now, std::vector<OrderedMoveCommand>&);
    void retain();

    NodeName m_self;
    ExposureBound m_bound;
    std::vector<NodeName> m_nodes;
    std::vector<ServingUpstream> m_upstreams;
    EvidenceTable m_evidence;
    std::map<ServiceName, Move> m_moves;
    /// Orders whose state in the store is not known yet.
    std::map<ServiceName, MoveOrder> m_pendingOrders;
    /// The status of the newest order read for each service, which may precede its order.
    std::map<ServiceName, MoveStatus> m_statuses;
    /// Services for which the store holds an outdated status instead.
    std::set<ServiceName> m_outdatedInStore;
    MonotonicTime m_tickedAt = MonotonicTime::min();
    /// Time between the last two ticks.
    std::chrono::milliseconds m_tickGap {};
    /// The first tick, or the first one after a pause of this node.
    std::optional<MonotonicTime> m_resumedAt;
};

}
