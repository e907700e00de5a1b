#include "carobpath/capacity/RecentMinimum.h"

#include <algorithm>

namespace carobpath::capacity {

void RecentMinimum::add(std::chrono::nanoseconds value, MonotonicTime now)
{
    const auto age = now - m_spanStart;
    if (age >= m_span) {
        m_previous = age < 2 * m_span ? m_current : std::nullopt;
        m_current = std::nullopt;
        m_spanStart = now;
    }
    m_current = std::min(m_current.value_or(value), value);
}

std::optional<std::chrono::nanoseconds> RecentMinimum::value(MonotonicTime now) const
{
    const auto age = now - m_spanStart;
    if (!m_current || age >= 2 * m_span)
        return std::nullopt;
    if (age >= m_span)
        return m_current;
    return std::min(*m_current, m_previous.value_or(*m_current));
}

}
