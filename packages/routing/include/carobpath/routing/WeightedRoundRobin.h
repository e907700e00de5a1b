#pragma once

#include "carobpath/publication/Objects.h"

#include <vector>

namespace carobpath::routing {

/// Distributes calls over destinations in proportion to their weights. After any number of calls, the number of calls of
/// each of two destinations is within one call of its exact share; with more destinations it may be slightly further
/// off. Random choice would be far off for a few hundred calls.
class WeightedRoundRobin {
public:
    /// Sets the destinations of the active configuration; if they are unchanged, the sequence continues.
    /// \param phase starting point of the sequence, from 0 to 1, so that not all nodes begin with the same
    /// destination.
    void update(const std::vector<publication::Destination>&, double phase);

    /// \returns the destination of the next call; an empty name if all weights are 0.
    ServiceName next();

private:
    std::vector<publication::Destination> m_destinations;
    /// Accumulated credit of each destination, in units of the sum of all weights.
    std::vector<double> m_credits;
};

}
