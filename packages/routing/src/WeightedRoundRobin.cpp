#include "carobpath/routing/WeightedRoundRobin.h"

#include <algorithm>
#include <numeric>

namespace carobpath::routing {

void WeightedRoundRobin::update(const std::vector<publication::Destination>& destinations, double phase)
{
    if (destinations == m_destinations)
        return;
    m_destinations = destinations;
    m_credits.clear();
    const double sum = std::accumulate(destinations.begin(), destinations.end(), 0.0, [](double total, const auto& it) { return total + it.weight; });
    double shift = phase;
    for (const auto& it : m_destinations) {
        m_credits.push_back((shift - 0.5) * std::min<double>(it.weight, sum - it.weight));
        shift = 1 - shift;
    }
}

ServiceName WeightedRoundRobin::next()
{
    double sum = 0;
    std::size_t best = m_destinations.size();
    for (std::size_t i = 0; i < m_destinations.size(); ++i) {
        const double weight = m_destinations[i].weight;
        sum += weight;
        m_credits[i] += weight;
        if (weight > 0 && (best == m_destinations.size() || m_credits[i] > m_credits[best]))
            best = i;
    }
    if (best == m_destinations.size())
        return ServiceName {};
    m_credits[best] -= sum;
    return m_destinations[best].service;
}

}
