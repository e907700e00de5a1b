#include "carobpath/distribution/ReaderElection.h"

#include "carobpath/foundation/RendezvousHash.h"

#include <algorithm>
#include <map>

namespace carobpath::distribution {

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

bool isLogReader(const membership::MembershipView& view, const NodeName& node, const FailureDomainName& domain)
{
    const auto ranked = rankedNodes(view, domain);
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(logReadersPerDomain, ranked.size()));
    return std::any_of(ranked.begin(), end, [&](const auto* it) { return it->entry.name == node; });
}

std::size_t countLogReaders(const membership::MembershipView& view)
{
    std::map<FailureDomainName, std::size_t> nodes;
    for (const auto& it : view.nodes) {
        if (it.liveness != membership::Liveness::Dead && !it.entry.leaving)
            ++nodes[it.entry.domain];
    }
    std::size_t readers = 0;
    for (const auto& [domain, n] : nodes)
        readers += std::min(n, logReadersPerDomain);
    return readers;
}

}
