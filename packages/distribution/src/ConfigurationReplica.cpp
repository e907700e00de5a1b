#include "carobpath/distribution/ConfigurationReplica.h"

#include <algorithm>

namespace carobpath::distribution {

ConfigurationReplica::ConfigurationReplica(SetDigest digest)
    : m_digest(std::move(digest))
{
}

std::optional<publication::ConfigurationStamp> ConfigurationReplica::stamp() const
{
    if (!m_current)
        return std::nullopt;
    return m_current->stamp;
}

std::optional<Adoption> ConfigurationReplica::refusal(const publication::ConfigurationStamp& offered) const
{
    if (!m_current || m_current->stamp.offset < offered.offset)
        return std::nullopt;
    if (offered.offset < m_current->stamp.offset)
        return Adoption::Older;
    return offered == m_current->stamp ? Adoption::AlreadyCurrent : Adoption::Conflict;
}

Adoption ConfigurationReplica::adoptFromLog(publication::ConfigurationPointer offered)
{
    if (const auto reason = refusal(offered->stamp))
        return *reason;
    return install(std::move(offered));
}

Adoption ConfigurationReplica::adoptFullSet(publication::ConfigurationPointer offered)
{
    if (const auto reason = refusal(offered->stamp))
        return *reason;
    if (m_digest(offered->set) != offered->stamp.digest)
        return Adoption::DigestMismatch;
    return install(std::move(offered));
}

Adoption ConfigurationReplica::applyDelta(const Delta& delta)
{
    if (const auto reason = refusal(delta.result))
        return *reason;
    if (!m_current || m_current->stamp != delta.base)
        return Adoption::BaseMismatch;
    auto result = std::make_shared<publication::ConfigurationVersion>();
    result->stamp = delta.result;
    result->set = distribution::applyDelta(m_current->set, delta);
    if (m_digest(result->set) != delta.result.digest)
        return Adoption::DigestMismatch;
    return install(std::move(result));
}

Adoption ConfigurationReplica::install(publication::ConfigurationPointer version)
{
    if (m_current)
        m_earlier.push_back(std::move(m_current));
    if (m_earlier.size() > s_history)
        m_earlier.pop_front();
    m_current = std::move(version);
    m_deltas.clear();
    return Adoption::Adopted;
}

std::shared_ptr<const Delta> ConfigurationReplica::deltaFrom(const publication::ConfigurationStamp& base) const
{
    const auto made = std::find_if(m_deltas.begin(), m_deltas.end(), [&](const auto& it) { return it->base == base; });
    if (made != m_deltas.end())
        return *made;
    const auto from = std::find_if(m_earlier.begin(), m_earlier.end(), [&](const auto& it) { return it->stamp == base; });
    if (from == m_earlier.end())
        return nullptr;
    m_deltas.push_back(std::make_shared<const Delta>(deltaBetween(**from, *m_current)));
    return m_deltas.back();
}

}
