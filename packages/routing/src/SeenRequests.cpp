#include "carobpath/routing/SeenRequests.h"

namespace carobpath::routing {

bool SeenRequests::insert(const RequestId& id)
{
    const auto [it, isNew] = m_known.try_emplace(id);
    if (!isNew)
        return false;
    it->second = m_order.insert(m_order.end(), id);
    if (m_order.size() > s_maxRemembered) {
        m_known.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

void SeenRequests::forget(const RequestId& id)
{
    const auto it = m_known.find(id);
    if (it == m_known.end())
        return;
    m_order.erase(it->second);
    m_known.erase(it);
}

}
