#include "carobpath/routing/SeenRequests.h"

namespace carobpath::routing {

bool SeenRequests::insert(const RequestId& id)
{
    if (!m_known.insert(id).second)
        return false;
    m_order.push_back(id);
    if (m_order.size() > s_maxRemembered) {
        m_known.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

}
