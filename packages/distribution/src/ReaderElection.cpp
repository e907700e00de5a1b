#include "carobpath/distribution/ReaderElection.h"

#include "carobpath/foundation/RendezvousHash.h"

#include <algorithm>
#include <set>

namespace carobpath::distribution {

namespace {

    std::set<FailureDomainName> domainsOf(const membership::MembershipView& view)
    {
        std::set<FailureDomainName> domains;
        for (const auto& it : view.nodes)
            domains.insert(it.entry.domain);
        return domains;
    }

}

std::vector<const membership::KnownNode*> rankedNodes(const membership::MembershipView& view, const FailureDomainName& domain)
{
    struct Scored {
        std::uint64_t score;
        const membership::KnownNode* node;
    };
    std::vector<Scored> scored;
    for (const auto& it : view.nodes) {
        if (it.entry.domain == domain && it.liveness != membership::Liveness::Dead && !it.entry.leaving)
            scored.push_back({ rendezvousScore(domain.value(), it.entry.name.value()), &it });
    }
    std::sort(scored.begin(), scored.end(), [](const Scored& a, const Scored& b) {
        return a.score != b.score ? a.score > b.score : a.node->entry.name < b.node->entry.name;
    });
    std::vector<const membership::KnownNode*> ranked;
    ranked.reserve(scored.size());
    for (const auto& it : scored)
        ranked.push_back(it.node);
    return ranked;
}

std::optional<std::size_t> rankOf(const membership::MembershipView& view, const NodeName& node, const FailureDomainName& domain)
{
    const auto ranked = rankedNodes(view, domain);
    const auto self = std::find_if(ranked.begin(), ranked.end(), [&](const auto* it) { return it->entry.name == node; });
    return self == ranked.end() ? std::nullopt : std::optional { static_cast<std::size_t>(self - ranked.begin()) };
}

bool isLogReader(const membership::MembershipView& view, const NodeName& node, const FailureDomainName& domain)
{
    const auto rank = rankOf(view, node, domain);
    return rank && *rank < logReadersPerDomain;
}

std::size_t pollingNodesPerDomain(const membership::MembershipView& view, const StoreLoad& load)
{
    if (load.bytesPerSecond <= 0)
        return view.nodes.size();
    const auto seconds = std::chrono::duration<double> { pollAnswerTime }.count();
    const auto answered = static_cast<std::size_t>(load.bytesPerSecond * seconds / static_cast<double>(std::max<std::size_t>(load.recordBytes, 1)));
    return std::max(logReadersPerDomain, answered / std::max<std::size_t>(domainsOf(view).size(), 1));
}

bool isPollingNode(const membership::MembershipView& view, const NodeName& node, const FailureDomainName& domain, const StoreLoad& load)
{
    const auto rank = rankOf(view, node, domain);
    return !rank || *rank < pollingNodesPerDomain(view, load);
}

std::vector<const membership::KnownNode*> logReaders(const membership::MembershipView& view)
{
    const auto domains = domainsOf(view);
    std::vector<std::vector<const membership::KnownNode*>> byDomain;
    byDomain.reserve(domains.size());
    for (const auto& it : domains)
        byDomain.push_back(rankedNodes(view, it));
    std::vector<const membership::KnownNode*> readers;
    for (std::size_t rank = 0; rank < logReadersPerDomain; ++rank) {
        for (const auto& ranked : byDomain) {
            if (rank < ranked.size())
                readers.push_back(ranked[rank]);
        }
    }
    return readers;
}

}
