#pragma once

#include <chrono>
#include <random>

namespace carobpath::publication {

/// Exponential backoff with full jitter: each delay is uniform between zero and a ceiling that doubles up to a bound, so
/// that clients that failed together do not come back together.
class Backoff {
public:
    Backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest, std::mt19937_64 random)
        : m_first(first)
        , m_longest(longest)
        , m_ceiling(first)
        , m_random(random)
    {
    }

    /// \returns the delay before the next attempt.
    std::chrono::milliseconds next();

    /// To be called after a success.
    void reset() { m_ceiling = m_first; }

private:
    std::chrono::milliseconds m_first;
    std::chrono::milliseconds m_longest;
    std::chrono::milliseconds m_ceiling;
    std::mt19937_64 m_random;
};

}
