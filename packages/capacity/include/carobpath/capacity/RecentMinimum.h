#pragma once

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <optional>

namespace carobpath::capacity {

/// Smallest of the values of the last one to two spans.
class RecentMinimum {
public:
    explicit RecentMinimum(std::chrono::nanoseconds span)
        : m_span(span)
    {
    }

    void add(std::chrono::nanoseconds value, MonotonicTime now);
    /// \returns nothing if there is no value.
    std::optional<std::chrono::nanoseconds> value(MonotonicTime now) const;

private:
    std::chrono::nanoseconds m_span;
    MonotonicTime m_spanStart {};
    std::optional<std::chrono::nanoseconds> m_current;
    std::optional<std::chrono::nanoseconds> m_previous;
};

}
