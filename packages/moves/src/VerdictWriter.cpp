#include "carobpath/moves/VerdictWriter.h"

#include <algorithm>

namespace carobpath::moves {

namespace {

    constexpr std::uint32_t mostDoublings = 16;

}

VerdictWriter::VerdictWriter(std::size_t rank)
    : m_rank(rank)
{
}

bool VerdictWriter::isDue(const publication::MoveVerdict& verdict, MonotonicTime now, std::mt19937_64& random)
{
    if (m_outcome != verdict.outcome) {
        m_outcome = verdict.outcome;
        m_attempts = 0;
        m_nextAt = now + s_rankStep * std::min(m_rank, s_ranksStepped);
    }
    if (now < m_nextAt)
        return false;
    const auto longest = m_rank < s_busyRanks ? s_longestRetry : s_longestRetryOfOthers;
    const auto doublings = std::min(m_attempts, mostDoublings);
    const std::chrono::milliseconds ceiling = std::min(longest, std::chrono::milliseconds { s_firstRetry * (1L << doublings) });
    // Half of the delay is random, so that writers that failed together do not come back together.
    std::uniform_int_distribution<std::chrono::milliseconds::rep> draw(ceiling.count() / 2, ceiling.count());
    m_nextAt = now + std::chrono::milliseconds { draw(random) };
    ++m_attempts;
    return true;
}

}
