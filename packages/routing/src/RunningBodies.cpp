#include "carobpath/routing/RunningBodies.h"

#include <algorithm>

namespace carobpath::routing {

namespace {

    std::chrono::nanoseconds expectedTime(const RunningBodies::Body& body, MonotonicTime now)
    {
        const std::chrono::nanoseconds age = now - body.startedAt;
        if (body.delivered == 0 || body.length <= body.delivered)
            return age;
        const double whole = static_cast<double>(body.length) / static_cast<double>(body.delivered);
        return std::chrono::duration_cast<std::chrono::nanoseconds>(age * whole);
    }

}

RunningBodies::Handle RunningBodies::begin(const RouteName& route, std::uint64_t length, MonotonicTime now)
{
    auto& bodies = m_bodies[route];
    return bodies.insert(bodies.end(), Body { now, length, 0 });
}

void RunningBodies::end(const RouteName& route, Handle handle)
{
    const auto it = m_bodies.find(route);
    it->second.erase(handle);
    if (it->second.empty())
        m_bodies.erase(it);
}

std::optional<std::chrono::nanoseconds> RunningBodies::slowest(const RouteName& route, MonotonicTime now) const
{
    const auto it = m_bodies.find(route);
    if (it == m_bodies.end())
        return std::nullopt;
    std::chrono::nanoseconds slowest {};
    for (const auto& body : it->second)
        slowest = std::max(slowest, expectedTime(body, now));
    return slowest;
}

}
