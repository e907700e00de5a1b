#pragma once

#include "carobpath/membership/NodeEntry.h"

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace carobpath::distribution {

/// The peers of a node: its neighbours in the relay tree of its failure domain, its witnesses, and the candidates for
/// random selection. The log readers are the roots of the tree; each is also connected to the log reader of the same rank
/// in every other failure domain. Updates are forwarded to all neighbours except their sender.
class RelayTree {
public:
    /// Number of children of a tree node.
    static constexpr std::size_t s_fanOut = 4;

    /// One in this many random peers is selected from all failure domains instead of the local one.
    static constexpr std::uint32_t s_remotePeerInterval = 4;

    RelayTree() = default;
    RelayTree(std::shared_ptr<const membership::MembershipView>, const NodeName& self, const FailureDomainName&);

    bool isLogReader() const { return m_isLogReader; }
    const std::vector<const membership::NodeEntry*>& neighbours() const { return m_neighbours; }
    /// \returns the nodes that remember this node's configuration version, by rank: those in the local failure domain and
    /// those in remote ones. Dead nodes are included, since they may only have been unreachable.
    const std::vector<const membership::KnownNode*>& localWitnesses() const { return m_localWitnesses; }
    const std::vector<const membership::KnownNode*>& remoteWitnesses() const { return m_remoteWitnesses; }
    const std::vector<const membership::NodeEntry*>& livePeers() const { return m_live; }
    /// \returns a live peer, or null. Prefers the local failure domain, since traffic between domains is expensive.
    const membership::NodeEntry* randomPeer(std::mt19937_64&) const;
    /// \returns a dead peer, which may only have been unreachable, or null.
    const membership::NodeEntry* randomDeadPeer(std::mt19937_64&) const;

private:
    void connectDomain(const std::vector<const membership::KnownNode*>& ranked, std::size_t position);
    void connectRemoteDomains(std::size_t rank, const FailureDomainName& localDomain);
    void chooseWitnesses(const NodeName& self, const FailureDomainName& localDomain);

    std::shared_ptr<const membership::MembershipView> m_view;
    bool m_isLogReader = false;
    std::vector<const membership::NodeEntry*> m_neighbours;
    std::vector<const membership::KnownNode*> m_localWitnesses;
    std::vector<const membership::KnownNode*> m_remoteWitnesses;
    std::vector<const membership::NodeEntry*> m_live;
    /// Elements of \c m_live in the local failure domain.
    std::vector<const membership::NodeEntry*> m_localLive;
    std::vector<const membership::NodeEntry*> m_dead;
};

}
