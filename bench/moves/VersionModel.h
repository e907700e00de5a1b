#pragma once

#include "carobpath/moves/MoveCommand.h"
#include "moves/Scenario.h"

#include <chrono>
#include <random>

namespace carobpath::bench {

/// One call as a backend server would have dealt with it.
struct DrawnCall {
    moves::CallResult result = moves::CallResult::Succeeded;
    std::chrono::nanoseconds latency {};
    /// Failed or slowed by the new version's badness.
    bool isHarmed = false;
};

/// Stands for the backend servers of both versions.
class VersionModel {
public:
    /// Calls longer than this end as failed.
    static constexpr milliseconds s_timeout { 10000 };

    VersionModel(const Scenario&, std::mt19937_64&);

    /// \param newPart part of the service's calls that the new version takes now
    DrawnCall draw(bool isNew, std::size_t route, std::size_t upstream, milliseconds sinceStart, double newPart);

private:
    bool isBad(std::size_t route, std::size_t upstream, milliseconds sinceStart, double newPart) const;
    bool happens(double probability);

    const Scenario& m_scenario;
    std::mt19937_64& m_random;
    /// A good version is not quite the same as the old one.
    double m_errorFactor = 1;
    double m_latencyFactor = 1;
};

}
