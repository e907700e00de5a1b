#include "carobpath/quota/QuotaOwners.h"

#include "carobpath/foundation/RendezvousHash.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace carobpath::quota {

namespace {

    constexpr std::string_view ownersKey = "quota-owners";

    bool isAlive(const membership::KnownNode& node)
    {
        return node.liveness == membership::Liveness::Alive && !node.entry.leaving;
    }

    /// An incarnation is the time of the start in microseconds.
    bool hasSettled(const membership::NodeEntry& entry, WallTime now)
    {
        const std::chrono::microseconds startedAt { entry.revision.incarnation.value };
        return startedAt + QuotaOwners::s_settlingTime <= now.time_since_epoch();
    }

}

void QuotaOwners::update(const membership::MembershipView& view, WallTime now)
{
    const bool anySettled = std::any_of(view.nodes.begin(), view.nodes.end(), [now](const auto& it) { return isAlive(it) && hasSettled(it.entry, now); });
    m_owners.clear();
    for (const auto& it : view.nodes) {
        if (isAlive(it) && (!anySettled || hasSettled(it.entry, now)))
            m_owners.push_back({ it.entry.name, it.entry.addresses.peer });
    }
    if (m_owners.size() <= s_maxOwners)
        return;
    const auto score = [](const OwnerNode& it) { return rendezvousScore(ownersKey, it.name.value()); };
    std::nth_element(m_owners.begin(), m_owners.begin() + s_maxOwners, m_owners.end(), [&](const auto& a, const auto& b) { return score(a) > score(b); });
    m_owners.resize(s_maxOwners);
}

QuotaOwners::Ranked QuotaOwners::rank(const WorkspaceName& workspace) const
{
    Ranked ranked;
    std::uint64_t best = 0;
    std::uint64_t second = 0;
    for (const auto& it : m_owners) {
        const auto score = rendezvousScore(workspace.value(), it.name.value());
        if (!ranked.owner || score > best) {
            ranked.deputy = std::exchange(ranked.owner, &it);
            second = std::exchange(best, score);
        } else if (!ranked.deputy || score > second) {
            ranked.deputy = &it;
            second = score;
        }
    }
    return ranked;
}

void QuotaOwners::avoid(const NodeName& node, MonotonicTime now)
{
    std::erase_if(m_avoided, [now](const auto& it) { return now >= it.second; });
    m_avoided.insert_or_assign(node, now + s_avoidingTime);
}

bool QuotaOwners::isAvoided(const NodeName& node, MonotonicTime now) const
{
    const auto it = m_avoided.find(node);
    return it != m_avoided.end() && now < it->second;
}

std::optional<OwnerNode> QuotaOwners::ownerOf(const WorkspaceName& workspace, MonotonicTime now) const
{
    const auto ranked = rank(workspace);
    if (!ranked.owner)
        return std::nullopt;
    const bool usesDeputy = ranked.deputy && isAvoided(ranked.owner->name, now);
    return usesDeputy ? *ranked.deputy : *ranked.owner;
}

std::optional<OwnerNode> QuotaOwners::relayTarget(const NodeName& self, const WorkspaceName& workspace, MonotonicTime now) const
{
    const auto ranked = rank(workspace);
    const bool isDeputy = ranked.deputy && ranked.deputy->name == self;
    if (!isDeputy || isAvoided(ranked.owner->name, now))
        return std::nullopt;
    return *ranked.owner;
}

bool QuotaOwners::mayOwn(const NodeName& node, const WorkspaceName& workspace) const
{
    const auto ranked = rank(workspace);
    return (ranked.owner && ranked.owner->name == node) || (ranked.deputy && ranked.deputy->name == node);
}

}
