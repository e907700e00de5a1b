#include "carobpath/foundation/Backoff.h"

#include <algorithm>
#include <cstdint>

namespace carobpath {

std::chrono::milliseconds Backoff::next(std::mt19937_64& random)
{
    std::uniform_int_distribution<std::int64_t> delays { 0, m_ceiling.count() };
    const std::chrono::milliseconds delay { delays(random) };
    m_ceiling = std::min(m_longest, m_ceiling * 2);
    return delay;
}

}
