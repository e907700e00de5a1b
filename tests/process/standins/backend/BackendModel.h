#pragma once

#include "BackendSwitches.h"

#include "carobpath/foundation/Time.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <string>

namespace carobpath::standins {

/// What a backend server is made of.
struct BackendShape {
    std::string service;
    std::string version;
    std::string instance;
    std::uint64_t slots = 6;
    std::uint64_t connections = 130;
    /// Calls that wait for a slot before the next one is refused.
    std::uint64_t waiting = 6;
    std::chrono::milliseconds coldStart { 0 };
    std::chrono::milliseconds work { 5 };
};

enum class BackendState {
    Cold,
    Ready,
    Draining,
};

std::string_view toString(BackendState);

/// What becomes of a call that arrives.
enum class Arrival {
    Run,
    Wait,
    RefuseOverloaded,
    RefuseDraining,
};

/// How a call that runs ends.
struct Execution {
    std::chrono::milliseconds work { 0 };
    bool isFailed = false;
    bool isNeverAnswered = false;
};

/// Decisions of the backend stand-in: slots, cold start, draining and faults. Knows no socket and no clock.
class BackendModel {
public:
    /// A cold backend server takes this many times longer.
    static constexpr int s_coldFactor = 4;

    BackendModel(BackendShape, MonotonicTime startedAt, std::uint64_t seed);

    const BackendShape& shape() const { return m_shape; }
    BackendSwitches& switches() { return m_switches; }
    const BackendSwitches& switches() const { return m_switches; }
    BackendState state(MonotonicTime now) const;
    std::uint64_t inFlight() const { return m_inFlight; }
    std::uint64_t waiting() const { return m_waiting; }

    /// Counts the call as running or waiting where it is taken.
    Arrival arrive(MonotonicTime now);

    /// A waiting call runs now, or has gone.
    void startWaiting(MonotonicTime now);
    void dropWaiting() { --m_waiting; }

    /// Decides on a call that has just started to run.
    Execution execute(const std::string& path, MonotonicTime now);

    /// A call ended and left its slot.
    void finish(MonotonicTime now);

    void drain() { m_isDraining = true; }

    bool health(MonotonicTime now) const;
    std::uint64_t reportedInFlight(MonotonicTime now) const;

private:
    struct LoadSample {
        MonotonicTime at;
        std::uint64_t inFlight = 0;
    };

    static constexpr std::size_t s_maximumSamples = 4096;

    bool isBad(const std::string& path, MonotonicTime now) const;
    void noteLoad(MonotonicTime now);

    BackendShape m_shape;
    BackendSwitches m_switches;
    MonotonicTime m_startedAt;
    std::mt19937_64 m_random;
    std::uint64_t m_inFlight = 0;
    std::uint64_t m_waiting = 0;
    bool m_isDraining = false;
    std::deque<LoadSample> m_samples;
};

}
