#include "carobpath/foundation/LineRate.h"

#include <algorithm>
#include <utility>

namespace carobpath {

std::optional<std::uint64_t> LineRate::next(MonotonicTime now)
{
    if (now > m_refilledAt) {
        const std::chrono::duration<double> elapsed = now - m_refilledAt;
        m_tokens = std::min(s_burst, m_tokens + elapsed.count() * s_linesPerSecond);
        m_refilledAt = now;
    }
    if (m_tokens < 1) {
        ++m_leftOut;
        return std::nullopt;
    }
    m_tokens -= 1;
    return std::exchange(m_leftOut, 0);
}

}
