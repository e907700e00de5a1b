#include "moves/VersionModel.h"

#include <algorithm>
#include <cmath>

namespace carobpath::bench {

namespace {

    constexpr double latencySpread = 0.5;

}

VersionModel::VersionModel(const Scenario& scenario, std::mt19937_64& random)
    : m_scenario(scenario)
    , m_random(random)
    , m_errorFactor(std::uniform_real_distribution<double> { 0.8, 1.2 }(random))
    , m_latencyFactor(std::uniform_real_distribution<double> { 0.9, 1.1 }(random))
{
}

bool VersionModel::happens(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double> {}(m_random) < probability;
}

bool VersionModel::isBad(std::size_t route, std::size_t upstream, milliseconds sinceStart, double newPart) const
{
    const auto& it = m_scenario.badness;
    return !m_scenario.isGood && sinceStart >= it.onset && newPart >= it.loadThreshold
        && it.route.value_or(route) == route && it.upstream.value_or(upstream) == upstream;
}

DrawnCall VersionModel::draw(bool isNew, std::size_t route, std::size_t upstream, milliseconds sinceStart, double newPart)
{
    const auto& profile = m_scenario.service.routes[route];
    auto errorRate = profile.errorRate * (isNew ? m_errorFactor : 1);
    auto millis = static_cast<double>(profile.medianLatency.count()) * (isNew ? m_latencyFactor : 1);
    millis *= std::lognormal_distribution<double> { 0, latencySpread }(m_random);

    const auto& trouble = m_scenario.sharedTrouble;
    if (trouble && trouble->when.contains(sinceStart)) {
        errorRate = std::max(errorRate, trouble->failRate);
        millis *= trouble->slowdown;
    }
    if (isNew && sinceStart < m_scenario.coldStart.length)
        millis *= m_scenario.coldStart.slowdown;

    DrawnCall it;
    if (isNew && isBad(route, upstream, sinceStart, newPart)) {
        const bool isFailing = happens(m_scenario.badness.failRate);
        millis *= m_scenario.badness.slowdown;
        it.isHarmed = isFailing || m_scenario.badness.slowdown > 1;
        if (isFailing)
            it.result = moves::CallResult::Failed;
    }
    const auto limit = static_cast<double>(s_timeout.count());
    if (happens(errorRate) || millis > limit)
        it.result = moves::CallResult::Failed;
    it.latency = std::chrono::nanoseconds { static_cast<std::int64_t>(std::min(millis, limit) * 1e6) };
    return it;
}

}
