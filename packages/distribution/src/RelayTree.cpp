#include "carobpath/distribution/RelayTree.h"

#include "carobpath/distribution/ReaderElection.h"
#include "carobpath/distribution/VersionFloorGate.h"
#include "carobpath/foundation/RendezvousHash.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace carobpath::distribution {

namespace {

    const membership::NodeEntry* pick(const std::vector<const membership::NodeEntry*>& from, std::mt19937_64& random)
    {
        if (from.empty())
            return nullptr;
        return from[std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(random)];
    }

    struct Scored {
        std::uint64_t score;
        const membership::KnownNode* node;
    };

    std::vector<const membership::KnownNode*> highest(std::vector<Scored> scored, std::size_t wanted)
    {
        const auto count = static_cast<std::ptrdiff_t>(std::min(wanted, scored.size()));
        std::partial_sort(scored.begin(), scored.begin() + count, scored.end(), [](const Scored& a, const Scored& b) { return a.score > b.score; });
        std::vector<const membership::KnownNode*> nodes;
        for (auto it = scored.begin(); it != scored.begin() + count; ++it)
            nodes.push_back(it->node);
        return nodes;
    }

    std::string witnessKey(const membership::MembershipView& view, const NodeName& self)
    {
        for (const auto& it : view.nodes) {
            if (it.entry.name == self)
                return toString(it.entry.addresses.peer);
        }
        return self.value();
    }

}

RelayTree::RelayTree(std::shared_ptr<const membership::MembershipView> view, const NodeName& self, const FailureDomainName& domain)
    : m_view(std::move(view))
{
    for (const auto& it : m_view->nodes) {
        if (it.entry.name == self)
            continue;
        if (it.liveness == membership::Liveness::Dead)
            m_dead.push_back(&it.entry);
        else if (!it.entry.leaving)
            m_live.push_back(&it.entry);
    }
    std::copy_if(m_live.begin(), m_live.end(), std::back_inserter(m_localLive), [&](const auto* it) { return it->domain == domain; });
    chooseWitnesses(self, domain);
    const auto ranked = rankedNodes(*m_view, domain);
    const auto selfPosition = std::find_if(ranked.begin(), ranked.end(), [&](const auto* it) { return it->entry.name == self; });
    if (selfPosition == ranked.end())
        return;
    const auto position = static_cast<std::size_t>(selfPosition - ranked.begin());
    m_isLogReader = position < logReadersPerDomain;
    connectDomain(ranked, position);
    if (m_isLogReader)
        connectRemoteDomains(position, domain);
}

void RelayTree::connectDomain(const std::vector<const membership::KnownNode*>& ranked, std::size_t position)
{
    if (m_isLogReader) {
        for (std::size_t i = 0; i < std::min(logReadersPerDomain, ranked.size()); ++i) {
            if (i != position)
                m_neighbours.push_back(&ranked[i]->entry);
        }
    } else {
        m_neighbours.push_back(&ranked[(position - logReadersPerDomain) / s_fanOut]->entry);
    }
    const std::size_t firstChild = logReadersPerDomain + position * s_fanOut;
    for (std::size_t i = firstChild; i < std::min(firstChild + s_fanOut, ranked.size()); ++i)
        m_neighbours.push_back(&ranked[i]->entry);
}

void RelayTree::connectRemoteDomains(std::size_t rank, const FailureDomainName& localDomain)
{
    std::set<FailureDomainName> domains;
    for (const auto* it : m_live)
        domains.insert(it->domain);
    domains.erase(localDomain);
    for (const auto& domain : domains) {
        const auto ranked = rankedNodes(*m_view, domain);
        if (!ranked.empty())
            m_neighbours.push_back(&ranked[std::min(rank, ranked.size() - 1)]->entry);
    }
}

void RelayTree::chooseWitnesses(const NodeName& self, const FailureDomainName& localDomain)
{
    const std::string key = witnessKey(*m_view, self);
    std::vector<Scored> inDomain;
    std::vector<Scored> elsewhere;
    for (const auto& it : m_view->nodes) {
        if (it.entry.name == self || it.entry.leaving)
            continue;
        auto& group = it.entry.domain == localDomain ? inDomain : elsewhere;
        group.push_back({ rendezvousScore(key, it.entry.name.value()), &it });
    }
    m_localWitnesses = highest(std::move(inDomain), VersionFloorGate::s_queriedWitnesses);
    m_remoteWitnesses = highest(std::move(elsewhere), VersionFloorGate::s_queriedWitnesses);
}

const membership::NodeEntry* RelayTree::randomPeer(std::mt19937_64& random) const
{
    const bool selectsFromAll = m_localLive.empty() || random() % s_remotePeerInterval == 0;
    return pick(selectsFromAll ? m_live : m_localLive, random);
}

const membership::NodeEntry* RelayTree::randomDeadPeer(std::mt19937_64& random) const
{
    return pick(m_dead, random);
}

}
