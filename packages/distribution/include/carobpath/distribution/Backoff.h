#pragma once

#include "carobpath/foundation/Time.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace carobpath::distribution {

/// Exponential backoff with full jitter: each delay is drawn from zero to a bound that doubles.
class Backoff {
public:
    Backoff(std::chrono::milliseconds base, std::chrono::milliseconds cap)
        : m_base(base)
        , m_cap(cap)
    {
    }

    /// \returns the delay before the next attempt.
    std::chrono::milliseconds next(std::mt19937_64& random)
    {
        const auto bound = std::min(m_cap, std::chrono::milliseconds { m_base.count() << m_failures });
        if (bound < m_cap)
            ++m_failures;
        return std::chrono::milliseconds { std::uniform_int_distribution<std::int64_t>(0, bound.count())(random) };
    }

    void reset() { m_failures = 0; }

private:
    std::chrono::milliseconds m_base;
    std::chrono::milliseconds m_cap;
    std::uint32_t m_failures = 0;
};

}
