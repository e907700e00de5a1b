#include "carobpath/routing/RecentRequests.h"

namespace carobpath::routing {

void RecentRequests::add(const RequestId& id)
{
    if (!m_known.insert(id).second)
        return;
    m_order.push_back(id);
    if (m_order.size() <= s_maxRemembered)
        return;
    m_known.erase(m_order.front());
    m_order.pop_front();
}

void RecentRequests::forget(const RequestId& id)
{
    if (m_known.erase(id) > 0)
        std::erase(m_order, id);
}

}
