#include "carobpath/distribution/SnapshotFetch.h"

#include <algorithm>

namespace carobpath::distribution {

void SnapshotFetch::request(const FetchSource& source, std::chrono::milliseconds grace, MonotonicTime now)
{
    const auto earliest = now + grace;
    if (!m_source || earliest < m_notBefore)
        m_notBefore = earliest;
    const auto scope = m_source ? std::max(m_source->scope, source.scope) : source.scope;
    if (!m_source || source.isLocal || !m_source->isLocal)
        m_source = source;
    m_source->scope = scope;
}

void SnapshotFetch::clear()
{
    m_source.reset();
    m_backoff.reset();
}

std::optional<FetchSource> SnapshotFetch::start(MonotonicTime now)
{
    if (!m_source || m_running || now < m_notBefore || now < m_backoffUntil)
        return std::nullopt;
    m_running = true;
    return m_source;
}

void SnapshotFetch::onEnded(bool succeeded, MonotonicTime now, std::mt19937_64& random)
{
    m_running = false;
    if (succeeded)
        clear();
    else
        m_backoffUntil = now + m_backoff.next(random);
}

}
