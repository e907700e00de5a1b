#pragma once

#include "carobpath/membership/NodeEntry.h"

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

namespace carobpath::distribution {

/// Where a node stands among the others: its neighbours in the tree of its failure domain, its witnesses, and whom
/// it may pick at random. The readers are the roots; each is also joined to the reader of its rank in every other
/// failure domain. News go to all neighbours but the one that sent them.
class RelayTree {
public:
    /// Nodes below one node of the tree.
    static constexpr std::size_t s_fanOut = 4;

    /// One in so many random peers is drawn from all failure domains.
    static constexpr std::uint32_t s_farPeerEvery = 4;

    RelayTree() = default;
    RelayTree(std::shared_ptr<const membership::MembershipView>, const NodeName& self, const FailureDomainName&);

    bool reader() const { return m_reader; }
    const std::vector<const membership::NodeEntry*>& neighbours() const { return m_neighbours; }
    /// \returns the nodes that remember what this node holds, by rank: those in its failure domain and those elsewhere.
    /// Dead ones are among them, since they may have been cut off only.
    const std::vector<const membership::KnownNode*>& ownWitnesses() const { return m_ownWitnesses; }
    const std::vector<const membership::KnownNode*>& otherWitnesses() const { return m_otherWitnesses; }
    const std::vector<const membership::NodeEntry*>& livePeers() const { return m_live; }
    /// \returns a live peer, or null; mostly one of the own failure domain, since bytes between domains are dear.
    const membership::NodeEntry* randomPeer(std::mt19937_64&) const;
    /// \returns a dead peer, which may have been cut off only, or null.
    const membership::NodeEntry* randomDeadPeer(std::mt19937_64&) const;

private:
    void joinDomain(const std::vector<const membership::KnownNode*>& ranked, std::size_t position);
    void joinOtherDomains(std::size_t rank, const FailureDomainName& own);
    void chooseWitnesses(const NodeName& self, const FailureDomainName& own);

    std::shared_ptr<const membership::MembershipView> m_view;
    bool m_reader = false;
    std::vector<const membership::NodeEntry*> m_neighbours;
    std::vector<const membership::KnownNode*> m_ownWitnesses;
    std::vector<const membership::KnownNode*> m_otherWitnesses;
    std::vector<const membership::NodeEntry*> m_live;
    /// Those of \c m_live in the own failure domain.
    std::vector<const membership::NodeEntry*> m_near;
    std::vector<const membership::NodeEntry*> m_dead;
};

}
