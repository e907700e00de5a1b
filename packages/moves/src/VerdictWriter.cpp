#include "carobpath/moves/VerdictWriter.h"

#include "carobpath/foundation/ExponentialDelay.h"

#include <algorithm>

namespace carobpath::moves {

VerdictWriter::VerdictWriter(std::size_t rank)
    : m_rank(rank)
{
}

bool VerdictWriter::isDue(const publication::MoveVerdict& verdict, MonotonicTime now, std::mt19937_64& random)
{
    if (m_outcome != verdict.outcome) {
        m_outcome = verdict.outcome;
        m_attempts = 0;
        m_nextAt = now + s_rankStep * std::min(m_rank, s_maxRankSteps);
    }
    if (now < m_nextAt)
        return false;
    const auto maxDelay = m_rank < s_frequentRanks ? s_maxRetry : s_maxRetryOfOtherRanks;
    const auto ceiling = exponentialDelay(s_initialRetry, m_attempts, maxDelay);
    // Half of the delay is random, so that writers that failed at the same time do not retry at the same time.
    std::uniform_int_distribution<std::chrono::milliseconds::rep> draw(ceiling.count() / 2, ceiling.count());
    m_nextAt = now + std::chrono::milliseconds { draw(random) };
    ++m_attempts;
    return true;
}

}
