#include "carobpath/distribution/WholeFetch.h"

#include <algorithm>

namespace carobpath::distribution {

void WholeFetch::want(const FetchSource& source, std::chrono::milliseconds grace, MonotonicTime now)
{
    const auto earliest = now + grace;
    if (!m_source || earliest < m_notBefore)
        m_notBefore = earliest;
    const auto scope = m_source ? std::max(m_source->scope, source.scope) : source.scope;
    if (!m_source || source.isNear || !m_source->isNear)
        m_source = source;
    m_source->scope = scope;
}

void WholeFetch::satisfied()
{
    m_source.reset();
    m_backoff.reset();
}

std::optional<FetchSource> WholeFetch::start(MonotonicTime now)
{
    if (!m_source || m_running || now < m_notBefore || now < m_backoffUntil)
        return std::nullopt;
    m_running = true;
    return m_source;
}

void WholeFetch::onEnded(bool succeeded, MonotonicTime now, std::mt19937_64& random)
{
    m_running = false;
    if (succeeded)
        satisfied();
    else
        m_backoffUntil = now + m_backoff.next(random);
}

}
