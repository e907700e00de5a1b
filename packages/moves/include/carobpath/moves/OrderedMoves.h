#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/moves/EvidenceTable.h"
#include "carobpath/moves/MoveCommand.h"
#include "carobpath/moves/OrderedMovePlan.h"
#include "carobpath/moves/TrafficSplit.h"
#include "carobpath/moves/VersionComparison.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace carobpath::moves {

/// An operator's order to move a service's calls to another version.
struct MoveOrder {
    ServiceName service;
    VersionName to;
    std::chrono::milliseconds duration {};
    /// Offset of the order's record; tells it from other orders of the service.
    publication::Offset offset = 0;
};

/// How a move stands in the store.
enum class OrderedMoveState : std::uint8_t {
    Running,
    Done,
    TakenBack,
};

/// The store's newest record on the move of a service.
struct MoveStatus {
    ServiceName service;
    VersionName to;
    /// Offset of the order that it belongs to.
    publication::Offset order = 0;
    OrderedMoveState state = OrderedMoveState::Running;
};

/// Write a move's state to the store, unless the store holds an end of the same order already. Asked for again until
/// \c OrderedMoves::onStatus tells of it.
struct WriteStatus {
    MoveStatus status;
};

using OrderedMoveCommand = std::variant<WriteStatus, BroadcastNotice, TrafficSplitChanged>;

/// Decides, on one node, on moves that an operator orders with some ten seconds to the deadline: keeps and merges evidence,
/// splits calls, finds badness, and has the state written. Time counts on the monotonic clock from the moment at which the
/// node learnt of the order, since wall clocks step and differ.
///
/// All nodes follow the same plan, so that no share need be spread; only a finding is, at once.
class OrderedMoves {
public:
    /// An upstream that takes calls, by the node beside it.
    struct ServingUpstream {
        ServiceName service;
        VersionName version;
        NodeName node;
    };

    /// Time between two ranks of writers, so that one of them mostly writes alone.
    static constexpr std::chrono::milliseconds s_rankStep { 150 };
    static constexpr std::chrono::milliseconds s_writeRetry { 300 };
    /// A share older than this is not used: the node was paused, and the version may have been taken back since.
    static constexpr std::chrono::milliseconds s_longestTickGap { 1'500 };

    OrderedMoves(NodeName self, Incarnation, const ExposureBound&);

    /// Nodes that may write; those held alive.
    void onNodes(std::vector<NodeName>);
    void onUpstreams(std::vector<ServingUpstream>);
    /// An order whose state in the store is not known yet: its version gets nothing until \c onOrder.
    void addPendingOrder(const MoveOrder&);
    /// \param age of the order, where it was given before this node started.
    void onOrder(const MoveOrder&, std::chrono::milliseconds age, MonotonicTime now);
    void onStatus(const MoveStatus&);
    /// Counts a call that this node admitted. Calls of services without a move are left out.
    /// \param latency nothing where it does not speak for the version, as while the backend server is cold.
    void observe(const ServiceName&, const RouteName&, const VersionName&, CallResult, std::optional<std::chrono::nanoseconds> latency, MonotonicTime now);
    void merge(const EvidenceUpdate&);
    EvidenceUpdate changedSince(EvidenceCursor&) const;
    std::vector<OrderedMoveCommand> tick(MonotonicTime now);
    TrafficSplit trafficSplit(const ServiceName&, MonotonicTime now) const;
    /// \returns whether a move has no end in the store yet.
    bool hasUnfinishedMove() const;

private:
    /// Evidence windows: calls while the new version gets a part, and while it gets all.
    static constexpr std::uint32_t s_canaryWindow = 0;
    static constexpr std::uint32_t s_fullWindow = 1;
    static constexpr std::uint32_t s_focusWindow = 2;

    struct Move {
        MoveOrder order;
        OrderedMovePlan plan;
        MonotonicTime startedAt;
        /// Of each window, against all calls of the old version.
        VersionComparison canary;
        VersionComparison full;
        VersionComparison focus;
        /// What the store holds of this order.
        std::optional<OrderedMoveState> recorded;
        double shownShare = 0;
        std::optional<OrderedMoveState> wanted;
        MonotonicTime writeAt;
    };

    static MoveId idOf(const MoveOrder&);
    std::chrono::milliseconds elapsed(const Move&, MonotonicTime now) const;
    /// \returns whether the store holds an end of the move.
    static bool hasEnded(const Move&);
    bool isTakenBack(const Move&) const;
    bool isFull(const Move&, MonotonicTime now) const;
    /// \returns whether this node has heard enough of the new version, alone and under load, to send it all calls.
    bool isShown(const Move&, MonotonicTime now) const;
    bool isFocused(const Move&, MonotonicTime now) const;
    std::uint32_t windowOf(const Move&, MonotonicTime now) const;
    NodeName focusOf(const Move&) const;
    double rateOf(const Move&, MonotonicTime now) const;
    double shareOf(const Move&, MonotonicTime now) const;
    OrderedMoveState stateOf(const Move&, MonotonicTime now) const;
    void add(const std::vector<EvidenceGrowth>&);
    void find(Move&, std::vector<OrderedMoveCommand>&);
    void write(Move&, MonotonicTime now, std::vector<OrderedMoveCommand>&);
    void retain();

    NodeName m_self;
    ExposureBound m_bound;
    std::vector<NodeName> m_nodes;
    std::vector<ServingUpstream> m_upstreams;
    EvidenceTable m_book;
    std::map<ServiceName, Move> m_moves;
    /// Orders whose state in the store is not known yet.
    std::map<ServiceName, MoveOrder> m_held;
    /// Ends that were read before their orders.
    std::map<ServiceName, MoveStatus> m_statuses;
    MonotonicTime m_tickedAt = MonotonicTime::min();
};

}
