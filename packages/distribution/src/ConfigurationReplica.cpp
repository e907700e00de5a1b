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

Adoption ConfigurationReplica::adoptFromLog(publication::ConfigurationPointer offered, const std::optional<publication::RecordSpan>& span)
{
    if (const auto reason = refusal(offered->stamp))
        return *reason;
    return install(std::move(offered), span);
}

Adoption ConfigurationReplica::adoptFullSet(publication::ConfigurationPointer offered)
{
    if (const auto reason = refusal(offered->stamp))
        return *reason;
    if (m_digest(offered->set) != offered->stamp.digest)
        return Adoption::DigestMismatch;
    return install(std::move(offered), std::nullopt);
}

Adoption ConfigurationReplica::applyDelta(const Delta& delta)
{
    if (const auto reason = refusal(delta.result))
        return *reason;
    if (!m_current || m_current->stamp != delta.base)
        return Adoption::BaseMismatch;
    return applyDeltas({ std::make_shared<const Delta>(delta) });
}

Adoption ConfigurationReplica::applyDeltas(const std::vector<std::shared_ptr<const Delta>>& deltas)
{
    if (deltas.empty())
        return Adoption::AlreadyCurrent;
    const auto& last = *deltas.back();
    if (const auto reason = refusal(last.result))
        return *reason;
    if (!m_current)
        return Adoption::BaseMismatch;
    auto result = std::make_shared<publication::ConfigurationVersion>();
    result->stamp = m_current->stamp;
    result->set = m_current->set;
    for (const auto& it : deltas) {
        if (it->base.offset > result->stamp.offset)
            return Adoption::BaseMismatch;
        result->set = distribution::applyDelta(std::move(result->set), *it);
        result->stamp = it->result;
    }
    if (m_digest(result->set) != last.result.digest)
        return Adoption::DigestMismatch;
    return install(std::move(result), last.span);
}

Adoption ConfigurationReplica::install(publication::ConfigurationPointer version, const std::optional<publication::RecordSpan>& span)
{
    if (m_current)
        m_earlier.push_back(std::move(m_current));
    if (m_earlier.size() > s_history)
        m_earlier.pop_front();
    m_current = std::move(version);
    m_span = span;
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
    auto delta = deltaBetween(**from, *m_current);
    delta.span = m_span;
    m_deltas.push_back(std::make_shared<const Delta>(std::move(delta)));
    return m_deltas.back();
}

}
