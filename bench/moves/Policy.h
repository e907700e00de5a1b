#pragma once

#include "moves/LogModel.h"
#include "moves/Scenario.h"
#include "moves/VersionModel.h"

#include <concepts>

namespace carobpath::bench {

/// Which version a call goes to.
enum class Pick : std::uint8_t {
    Old,
    /// The version of an earlier move that this one replaces.
    Earlier,
    New,
};

/// Nodes of one run: the first half stand beside upstreams of the old version, the second beside those of the new.
inline constexpr std::size_t nodesPerVersion = 3;
inline constexpr std::size_t nodeCount = 2 * nodesPerVersion;

/// What decides on a move. Times are since its start.
template <typename T>
concept MovePolicy = requires(T policy, const T& constPolicy, std::size_t node, double random, milliseconds now, LogModel& log, Pick pick, std::size_t route, const DrawnCall& call)
{
    /// A call enters at the node.
    {
        constPolicy.pick(node, random, now)
        } -> std::same_as<Pick>;
    {
        constPolicy.newShare(node, now)
        } -> std::same_as<double>;
    {
        constPolicy.isUp(node, now)
        } -> std::same_as<bool>;
    /// A call ended at the node beside its upstream.
    policy.observe(node, pick, route, call, now);
    policy.step(now, log);
    {
        constPolicy.controlBytes()
        } -> std::same_as<std::uint64_t>;
    /// When the first node found the new version bad.
    {
        constPolicy.foundAt()
        } -> std::same_as<std::optional<milliseconds>>;
    /// Every node has seen the end of the move.
    {
        constPolicy.isSettled(now)
        } -> std::same_as<bool>;
};

}
