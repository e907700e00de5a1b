#include "internal/RequestMemory.h"

#include <utility>
#include <vector>

namespace carobpath::gateway::Detail {

RequestMemory::RequestMemory(std::uint64_t heldBytes, std::function<void()> onShed)
    : m_policy(heldBytes)
    , m_onShed(std::move(onShed))
{
}

bool RequestMemory::makeRoom(std::uint64_t requestBytes, MonotonicTime now)
{
    while (m_store->heldBytes() > m_policy.limitFor(requestBytes)) {
        auto* it = victim(requestBytes, now);
        if (!it)
            return false;
        remove(*it);
        it->shed();
    }
    return true;
}

void RequestMemory::countShed() const
{
    if (m_onShed)
        m_onShed();
}

UnfinishedRequest* RequestMemory::victim(std::uint64_t requestBytes, MonotonicTime now) const
{
    const std::vector<UnfinishedRequest*> all(m_unfinished.begin(), m_unfinished.end());
    std::vector<UnfinishedUse> uses;
    uses.reserve(all.size());
    for (const auto* it : all)
        uses.push_back(it->use());
    const auto i = SheddingPolicy::victim(uses, requestBytes, now);
    return i ? all[*i] : nullptr;
}

}
