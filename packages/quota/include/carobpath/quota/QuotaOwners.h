#pragma once

#include "carobpath/foundation/Time.h"
#include "carobpath/membership/NodeEntry.h"

#include <chrono>
#include <optional>
#include <unordered_map>
#include <vector>

namespace carobpath::quota {

/// A node that owns quotas.
struct OwnerNode {
    NodeName name;
    Endpoint peer;
};

/// Finds the node that owns the quota of a workspace by rendezvous hash among the nodes that are alive, so that nodes with the
/// same view agree without a message. The node with the second highest score is the deputy, which takes the reports of nodes that
/// cannot reach the owner.
class QuotaOwners {
public:
    /// Nodes that own quotas at most, which bounds the connections between nodes.
    static constexpr std::size_t s_maxOwners = 32;
    /// A node owns no quota for this time after its start: it knows nothing of the calls of the last window, and other nodes
    /// learn of it one after the other. Unless all nodes have just started.
    static constexpr std::chrono::seconds s_settlingTime { 3 };
    /// Time for which a node that could not be reached is avoided; by then the view says whether it is alive.
    static constexpr std::chrono::seconds s_avoidingTime { 2 };

    /// To be called when the view changes, and from time to time as nodes grow older.
    void update(const membership::MembershipView&, WallTime now);

    /// Reports go to the deputy for a while, since no connection to this node could be made. A report that is merely late is no
    /// reason: its owner may still grant tokens to other nodes.
    void avoid(const NodeName&, MonotonicTime now);

    /// \returns the node that reports go to; empty while no node is known.
    std::optional<OwnerNode> ownerOf(const WorkspaceName&, MonotonicTime now) const;

    /// \returns whether the node may take reports of the workspace: it is the owner or the deputy.
    bool mayOwn(const NodeName&, const WorkspaceName&) const;

    /// \returns the node to which this one relays reports of the workspace that came to it: the owner, if this is the deputy and
    /// can reach it. So only one node grants while some nodes cannot connect to the owner.
    std::optional<OwnerNode> relayTarget(const NodeName& self, const WorkspaceName&, MonotonicTime now) const;

private:
    /// The owner and the deputy; null where there are fewer nodes.
    struct Ranked {
        const OwnerNode* owner = nullptr;
        const OwnerNode* deputy = nullptr;
    };

    Ranked rank(const WorkspaceName&) const;
    bool isAvoided(const NodeName&, MonotonicTime now) const;

    std::vector<OwnerNode> m_owners;
    /// Until when nodes are avoided.
    std::unordered_map<NodeName, MonotonicTime> m_avoided;
};

}
