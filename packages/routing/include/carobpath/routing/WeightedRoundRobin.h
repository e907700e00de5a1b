#pragma once

#include "carobpath/publication/Objects.h"

#include <vector>

namespace carobpath::routing {

/// Spreads calls over destinations in proportion to their weights, as evenly as may be: among any run of calls each
/// destination gets its part of them to within one call. Drawing at random would leave a few hundred calls far off.
class WeightedRoundRobin {
public:
    /// Takes the destinations of the configuration in force; where they are the same, the turn goes on.
    /// \param phase from 0 to 1, where the turn starts, so that nodes do not all begin with the same destination.
    void update(const std::vector<publication::Destination>&, double phase);

    /// \returns the destination of the next call; an empty name where all weights are 0.
    ServiceName next();

private:
    std::vector<publication::Destination> m_destinations;
    /// What each destination is owed, in units of the sum of all weights.
    std::vector<double> m_owed;
};

}
