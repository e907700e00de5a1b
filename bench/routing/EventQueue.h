#pragma once

#include "carobpath/foundation/Time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace carobpath::bench {

/// Runs events in the order of a virtual clock; events of one moment in the order in which they were added.
class EventQueue {
public:
    using Event = std::function<void()>;

    MonotonicTime now() const { return m_now; }

    void at(MonotonicTime time, Event event) { m_events.push({ std::max(time, m_now), m_added++, std::move(event) }); }
    void after(MonotonicClock::duration time, Event event) { at(m_now + time, std::move(event)); }

    void runUntil(MonotonicTime end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            auto event = m_events.top().event;
            m_now = m_events.top().time;
            m_events.pop();
            event();
        }
        m_now = std::max(m_now, end);
    }

private:
    struct Entry {
        MonotonicTime time;
        std::uint64_t number = 0;
        Event event;

        friend bool operator<(const Entry& a, const Entry& b)
        {
            return std::pair(a.time, a.number) > std::pair(b.time, b.number);
        }
    };

    MonotonicTime m_now { std::chrono::seconds { 1000 } };
    std::uint64_t m_added = 0;
    std::priority_queue<Entry> m_events;
};

/// \returns the value below which the part given of the samples lies; zero without samples.
template <typename T>
T quantile(std::vector<T> samples, double part)
{
    if (samples.empty())
        return T {};
    const auto index = static_cast<std::size_t>(part * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index), samples.end());
    return samples[index];
}

}
