#include "carobpath/membership/SuspicionTable.h"

#include <algorithm>

namespace carobpath::membership {

bool SuspicionTable::add(const Suspicion& it, MonotonicTime now)
{
    auto& subject = m_subjects[it.subject];
    if (it.revision < subject.revision)
        return false;
    if (subject.revision < it.revision) {
        subject.revision = it.revision;
        subject.observers.clear();
    }
    const auto known = subject.observers.find(it.observer);
    if (known != subject.observers.end()) {
        known->second.renewed = now;
        return false;
    }
    if (subject.observers.size() >= s_maxObservers)
        return false;
    subject.observers.emplace(it.observer, Observation { now, now });
    return true;
}

void SuspicionTable::withdraw(const NodeName& subject, const NodeName& observer)
{
    const auto it = m_subjects.find(subject);
    if (it == m_subjects.end())
        return;
    it->second.observers.erase(observer);
    if (it->second.observers.empty())
        m_subjects.erase(it);
}

void SuspicionTable::clear(const NodeName& subject)
{
    m_subjects.erase(subject);
}

void SuspicionTable::withdrawAll(const NodeName& observer)
{
    for (const auto& it : subjects())
        withdraw(it, observer);
}

bool SuspicionTable::suspected(const NodeName& subject) const
{
    return m_subjects.contains(subject);
}

std::optional<Revision> SuspicionTable::dueForDeath(const NodeName& subject, std::size_t observersNeeded, MonotonicTime now) const
{
    const auto it = m_subjects.find(subject);
    if (it == m_subjects.end() || it->second.observers.size() < observersNeeded)
        return std::nullopt;
    std::vector<MonotonicTime> since;
    for (const auto& [observer, observation] : it->second.observers)
        since.push_back(observation.since);
    std::sort(since.begin(), since.end());
    if (now - since[observersNeeded - 1] < s_deadAfter)
        return std::nullopt;
    return it->second.revision;
}

std::vector<NodeName> SuspicionTable::subjects() const
{
    std::vector<NodeName> names;
    names.reserve(m_subjects.size());
    for (const auto& [name, subject] : m_subjects)
        names.push_back(name);
    return names;
}

std::vector<NodeName> SuspicionTable::expire(MonotonicTime now)
{
    std::vector<NodeName> cleared;
    for (const auto& name : subjects()) {
        auto& observers = m_subjects[name].observers;
        std::erase_if(observers, [now](const auto& it) { return now - it.second.renewed >= s_lifetime; });
        if (!observers.empty())
            continue;
        m_subjects.erase(name);
        cleared.push_back(name);
    }
    return cleared;
}

}
