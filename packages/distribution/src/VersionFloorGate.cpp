#include "carobpath/distribution/VersionFloorGate.h"

#include <algorithm>

namespace carobpath::distribution {

void VersionFloorGate::onAnswer(const NodeName& peer, const std::optional<publication::ConfigurationStamp>& floor)
{
    if (!m_confirmed && m_answered.size() < s_maxTracked)
        m_answered.insert(peer);
    if (floor && (!m_floor || m_floor->offset < floor->offset))
        m_floor = floor;
}

void VersionFloorGate::onFailed(const NodeName& peer)
{
    if (!m_confirmed && m_failed.size() < s_maxTracked)
        m_failed.insert(peer);
}

std::size_t VersionFloorGate::countAnswers(const std::vector<NodeName>& witnesses) const
{
    return static_cast<std::size_t>(std::count_if(witnesses.begin(), witnesses.end(), [this](const NodeName& it) { return m_answered.contains(it); }));
}

std::size_t VersionFloorGate::countFailures(const std::vector<NodeName>& witnesses) const
{
    return static_cast<std::size_t>(std::count_if(witnesses.begin(), witnesses.end(), [this](const NodeName& it) { return m_failed.contains(it) && !m_answered.contains(it); }));
}

bool VersionFloorGate::settled(const std::vector<NodeName>& witnesses) const
{
    return countAnswers(witnesses) > 0 || countFailures(witnesses) == witnesses.size();
}

void VersionFloorGate::update(const std::vector<NodeName>& local, const std::vector<NodeName>& remote)
{
    if (m_confirmed || !settled(local) || !settled(remote))
        return;
    const std::size_t reachable = local.size() + remote.size() - countFailures(local) - countFailures(remote);
    const std::size_t answers = countAnswers(local) + countAnswers(remote);
    if (answers == 0 || answers < std::min(s_requiredAnswers, reachable))
        return;
    m_confirmed = true;
    m_answered.clear();
    m_failed.clear();
}

bool VersionFloorGate::passes(const std::optional<publication::ConfigurationStamp>& current) const
{
    if (!m_confirmed || !current)
        return false;
    return !m_floor || current->offset >= m_floor->offset;
}

}
