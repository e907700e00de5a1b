#include "carobpath/publication/Backoff.h"

#include <algorithm>
#include <cstdint>

namespace carobpath::publication {

std::chrono::milliseconds Backoff::next()
{
    std::uniform_int_distribution<std::int64_t> delays { 0, m_ceiling.count() };
    const std::chrono::milliseconds delay { delays(m_random) };
    m_ceiling = std::min(m_longest, m_ceiling * 2);
    return delay;
}

}
