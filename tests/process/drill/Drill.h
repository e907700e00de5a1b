#pragma once

#include "Fleet.h"
#include "PromiseReport.h"

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace carobpath::drill {

/// Faults on real processes for a bounded time with a load running, and a count for each promise of the system.
class Drill {
public:
    Drill(std::chrono::seconds duration, std::uint64_t seed);

    /// Runs to the end. \returns whether no promise was counted as broken.
    /// \param timeLineFile where the merged time line goes.
    bool run(const std::string& timeLineFile);

private:
    void startFleet();
    void startLoad();
    void injectFaults();
    void killHerd();
    void takeLogDown();
    void freezeNode();
    void freezeBackend();
    void raceOperators();
    void stopOneGracefully();
    void settle();
    std::vector<PromiseCount> count();
    std::uint64_t danglingRoutes() const;
    std::uint64_t lateCallsAfterDrain() const;
    std::vector<harness::EventLine> allEvents() const;
    std::size_t randomNode();
    void say(const std::string&) const;

    std::chrono::seconds m_duration;
    std::mt19937_64 m_random;
    std::chrono::steady_clock::time_point m_startedAt;
    harness::Fleet m_fleet;
    std::unique_ptr<harness::LoadRun> m_load;
    std::uint64_t m_races = 0;
    std::uint64_t m_gracefulStops = 0;
    std::uint64_t m_cutByStops = 0;
    std::size_t m_drained = 0;
    std::chrono::milliseconds m_slowestInForce { 0 };
};

}
