#include "carobpath/distribution/VersionFloorTable.h"

namespace carobpath::distribution {

void VersionFloorTable::record(const Endpoint& endpoint, const publication::ConfigurationStamp& stamp)
{
    const auto known = m_index.find(endpoint);
    if (known != m_index.end()) {
        m_order.splice(m_order.begin(), m_order, known->second);
        if (m_order.front().stamp.offset < stamp.offset)
            m_order.front().stamp = stamp;
        return;
    }
    if (m_order.size() >= s_capacity) {
        m_index.erase(m_order.back().endpoint);
        m_order.pop_back();
    }
    m_order.push_front(Entry { endpoint, stamp });
    m_index.emplace(endpoint, m_order.begin());
}

std::optional<publication::ConfigurationStamp> VersionFloorTable::floorOf(const Endpoint& endpoint) const
{
    const auto it = m_index.find(endpoint);
    if (it == m_index.end())
        return std::nullopt;
    return it->second->stamp;
}

}
