#include "carobpath/distribution/FloorGate.h"

#include <algorithm>

namespace carobpath::distribution {

void FloorGate::onHeard(const NodeName& peer, const std::optional<publication::ConfigurationStamp>& floor)
{
    if (!m_confirmed && m_heard.size() < s_maxHeard)
        m_heard.insert(peer);
    if (floor && (!m_floor || m_floor->offset < floor->offset))
        m_floor = floor;
}

void FloorGate::update(const std::vector<NodeName>& witnesses)
{
    if (m_confirmed || witnesses.empty())
        return;
    const auto answers = static_cast<std::size_t>(std::count_if(witnesses.begin(), witnesses.end(), [this](const NodeName& it) { return heardFrom(it); }));
    if (answers < std::min(s_answersNeeded, witnesses.size()))
        return;
    m_confirmed = true;
    m_heard.clear();
}

bool FloorGate::passes(const std::optional<publication::ConfigurationStamp>& held) const
{
    if (!m_confirmed || !held)
        return false;
    return !m_floor || held->offset >= m_floor->offset;
}

}
