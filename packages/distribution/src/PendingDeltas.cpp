#include "carobpath/distribution/PendingDeltas.h"

#include <algorithm>
#include <utility>

namespace carobpath::distribution {

void PendingDeltas::add(std::shared_ptr<const Delta> delta)
{
    const auto known = m_byResult.find(delta->result.offset);
    if (known == m_byResult.end()) {
        if (m_byResult.size() < s_capacity)
            m_byResult.emplace(delta->result.offset, std::move(delta));
        return;
    }
    if (delta->base.offset < known->second->base.offset)
        known->second = std::move(delta);
}

std::vector<std::shared_ptr<const Delta>> PendingDeltas::takeFrom(publication::Offset held)
{
    m_byResult.erase(m_byResult.begin(), m_byResult.upper_bound(held));
    std::vector<std::shared_ptr<const Delta>> taken;
    auto it = m_byResult.begin();
    for (; it != m_byResult.end() && it->second->base.offset <= held; ++it) {
        held = it->first;
        taken.push_back(std::move(it->second));
    }
    m_byResult.erase(m_byResult.begin(), it);
    return taken;
}

bool PendingDeltas::markSeen(const publication::ConfigurationStamp& result)
{
    if (std::find(m_seen.begin(), m_seen.end(), result) != m_seen.end())
        return false;
    m_seen.push_back(result);
    if (m_seen.size() > s_memory)
        m_seen.pop_front();
    return true;
}

}
