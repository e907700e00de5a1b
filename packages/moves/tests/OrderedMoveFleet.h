#pragma once

/// \file
/// Sample orders, and a small fleet that runs the moves of one service, for the tests of ordered moves.

#include "carobpath/moves/OrderedMoves.h"

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace carobpath::moves::tests {

using namespace std::chrono_literals;

inline const ServiceName service { "catalog" };
inline const VersionName oldVersion { "v1" };
inline const VersionName newVersion { "v2" };
inline const MonotonicTime start { 1000s };

inline MoveOrder order(publication::Offset offset = 5) { return { service, newVersion, 16s, offset }; }

/// The order as it is read after the store has come back from a copy as often as given.
inline MoveOrder orderOfEra(std::uint64_t era, publication::Offset offset) { return order(publication::pack({ { era }, offset })); }

/// Nodes that gossip evidence with a settable delay, and a store in which the first final state wins.
struct Fleet {
    std::vector<OrderedMoves> nodes;
    std::vector<MoveStatus> written;
    bool isStoreDown = false;
    int harmed = 0;
    int calls = 0;
    /// Delay until other nodes receive the evidence of a call.
    std::chrono::milliseconds evidenceDelay {};
    std::deque<std::pair<MonotonicTime, EvidenceUpdate>> inTransit;

    explicit Fleet(std::size_t count)
    {
        std::vector<NodeName> names;
        for (std::size_t i = 0; i < count; ++i)
            names.emplace_back("n" + std::to_string(i));
        for (const auto& name : names) {
            nodes.emplace_back(name, Incarnation { 1 }, ExposureBound {});
            nodes.back().onNodes(names);
        }
    }

    void addOrder(const MoveOrder& it, MonotonicTime now)
    {
        for (auto& node : nodes)
            node.onOrder(it, 0ms, now);
    }

    std::optional<OrderedMoveState> finalState() const
    {
        for (const auto& it : written) {
            if (it.state != OrderedMoveState::Running)
                return it.state;
        }
        return std::nullopt;
    }

    void write(const MoveStatus& status)
    {
        if (isStoreDown || finalState())
            return;
        written.push_back(status);
        for (auto& node : nodes)
            node.onStatus(status);
    }

    void gossip(MonotonicTime now)
    {
        for (const auto& from : nodes) {
            EvidenceCursor cursor;
            inTransit.emplace_back(now + evidenceDelay, from.changedSince(cursor));
        }
        for (; !inTransit.empty() && inTransit.front().first <= now; inTransit.pop_front()) {
            for (auto& to : nodes)
                to.merge(inTransit.front().second);
        }
    }

    /// Runs one tick of 100 ms with some calls; \p fails returns whether a call of the new version fails.
    void tick(MonotonicTime now, const std::function<bool(double share)>& fails)
    {
        for (auto& node : nodes) {
            for (const auto& command : node.tick(now)) {
                if (const auto* it = std::get_if<WriteStatus>(&command))
                    write(it->status);
            }
        }
        gossip(now);
        for (auto& node : nodes)
            call(node, now, fails);
    }

    void call(OrderedMoves& node, MonotonicTime now, const std::function<bool(double)>& fails)
    {
        const auto share = node.trafficSplit(service, now);
        const double part = share.next ? share.nextShare : (share.current == newVersion ? 1 : 0);
        for (int i = 0; i < 4; ++i) {
            const bool isNew = calls++ % 100 < part * 100;
            const bool failed = isNew && fails(part);
            harmed += failed ? 1 : 0;
            node.observe(service, RouteName { "r" }, isNew ? newVersion : oldVersion, failed ? CallResult::Failed : CallResult::Succeeded, 100ms, now);
        }
    }

    void run(std::chrono::milliseconds from, std::chrono::milliseconds to, const std::function<bool(double)>& fails)
    {
        for (auto at = from; at < to; at += 100ms)
            tick(start + at, fails);
    }
};

/// \returns the statuses that the commands write.
inline std::vector<MoveStatus> writtenBy(const std::vector<OrderedMoveCommand>& commands)
{
    std::vector<MoveStatus> written;
    for (const auto& command : commands) {
        if (const auto* it = std::get_if<WriteStatus>(&command))
            written.push_back(it->status);
    }
    return written;
}

/// \returns the final states among those that the commands write.
inline std::vector<OrderedMoveState> finalStatesOf(const std::vector<OrderedMoveCommand>& commands)
{
    std::vector<OrderedMoveState> states;
    for (const auto& it : writtenBy(commands)) {
        if (it.state != OrderedMoveState::Running)
            states.push_back(it.state);
    }
    return states;
}

inline bool never(double) { return false; }
inline bool always(double) { return true; }

}
