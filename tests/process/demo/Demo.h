#pragma once

#include "Fleet.h"
#include "RunAudit.h"

#include <chrono>
#include <memory>
#include <string>

namespace carobpath::demo {

/// The main job shown with real processes: Petra's booking service in three failure domains, a good version that gets all
/// traffic by its deadline, and a bad one that is taken back. Each step throws where it does not come about.
class Demo {
public:
    Demo();

    /// Runs every step. \returns whether each promise that the demo can count was kept.
    bool run();

private:
    void startFleet();
    void publishObjects();
    void startLoad();
    void moveToGoodVersion();
    void moveToBadVersion();
    bool report();
    void stopFleet();

    void addInstances(const std::string& version, std::size_t count);
    void publish(const std::string& what, const std::string& objects);
    nlohmann::json followMove(const std::string& name);
    std::string runsByVersion() const;
    void say(const std::string& text) const;

    std::chrono::steady_clock::time_point m_startedAt;
    harness::Fleet m_fleet;
    std::unique_ptr<harness::LoadRun> m_load;
};

}
