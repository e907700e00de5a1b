#include "carobpath/capacity/ReturnSchedule.h"

#include <algorithm>

namespace carobpath::capacity {

namespace {

    MonotonicClock::duration ticks(std::chrono::duration<double> time)
    {
        return std::chrono::duration_cast<MonotonicClock::duration>(time);
    }

}

MonotonicTime ReturnSchedule::lastPlace(std::uint32_t rank) const
{
    MonotonicTime last {};
    for (auto it = m_lastByRank.begin(); it != m_lastByRank.end() && it->first <= rank; ++it)
        last = std::max(last, it->second);
    return last;
}

std::chrono::milliseconds ReturnSchedule::place(const Returner& caller, std::chrono::duration<double> interval, MonotonicTime now)
{
    const auto earliest = now + ticks(caller.wait);
    const auto at = std::max(earliest, lastPlace(caller.rank) + ticks(interval));
    const auto latest = now + ticks((caller.deadline - now) * s_latestPart);
    if (at > latest)
        return std::chrono::ceil<std::chrono::milliseconds>(std::max(at, caller.deadline) - now);
    m_lastByRank[caller.rank] = at;
    return std::chrono::ceil<std::chrono::milliseconds>(at - now);
}

}
