#include "carobpath/distribution/VersionFloorGate.h"

#include <algorithm>

namespace carobpath::distribution {

void VersionFloorGate::onHeard(const NodeName& peer, const std::optional<publication::ConfigurationStamp>& floor)
{
    if (!m_confirmed && m_heard.size() < s_maxHeard)
        m_heard.insert(peer);
    if (floor && (!m_floor || m_floor->offset < floor->offset))
        m_floor = floor;
}

void VersionFloorGate::onFailed(const NodeName& peer)
{
    if (!m_confirmed && m_failed.size() < s_maxHeard)
        m_failed.insert(peer);
}

std::size_t VersionFloorGate::answersOf(const std::vector<NodeName>& witnesses) const
{
    return static_cast<std::size_t>(std::count_if(witnesses.begin(), witnesses.end(), [this](const NodeName& it) { return m_heard.contains(it); }));
}

std::size_t VersionFloorGate::failuresOf(const std::vector<NodeName>& witnesses) const
{
    return static_cast<std::size_t>(std::count_if(witnesses.begin(), witnesses.end(), [this](const NodeName& it) { return m_failed.contains(it) && !m_heard.contains(it); }));
}

bool VersionFloorGate::settled(const std::vector<NodeName>& witnesses) const
{
    return answersOf(witnesses) > 0 || failuresOf(witnesses) == witnesses.size();
}

void VersionFloorGate::update(const std::vector<NodeName>& own, const std::vector<NodeName>& others)
{
    if (m_confirmed || !settled(own) || !settled(others))
        return;
    const std::size_t reachable = own.size() + others.size() - failuresOf(own) - failuresOf(others);
    const std::size_t answers = answersOf(own) + answersOf(others);
    if (answers == 0 || answers < std::min(s_answersNeeded, reachable))
        return;
    m_confirmed = true;
    m_heard.clear();
    m_failed.clear();
}

bool VersionFloorGate::passes(const std::optional<publication::ConfigurationStamp>& held) const
{
    if (!m_confirmed || !held)
        return false;
    return !m_floor || held->offset >= m_floor->offset;
}

}
