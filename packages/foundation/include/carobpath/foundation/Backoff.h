#pragma once

#include <chrono>
#include <random>

namespace carobpath {

/// Exponential backoff with full jitter: each delay is uniform between zero and a ceiling that doubles up to a bound, so
/// that those that failed together do not come back together.
class Backoff {
public:
    Backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest)
        : m_first(first)
        , m_longest(longest)
        , m_ceiling(first)
    {
    }

    /// \returns the delay before the next attempt.
    std::chrono::milliseconds next(std::mt19937_64& random);

    /// To be called after a success.
    void reset() { m_ceiling = m_first; }

private:
    std::chrono::milliseconds m_first;
    std::chrono::milliseconds m_longest;
    std::chrono::milliseconds m_ceiling;
};

}
