#pragma once

#include "LoadConnection.h"
#include "LoadMix.h"
#include "LoadReport.h"

#include "common/StandinProcess.h"

#include <map>
#include <random>
#include <vector>

namespace carobpath::standins {

struct LoadShape {
    std::vector<tcp::endpoint> targets;
    double callsPerSecond = 100;
    std::chrono::milliseconds duration { 10'000 };
    std::chrono::milliseconds timeout { 10'000 };
    std::size_t maximumOpen = 1'000;
    std::uint64_t seed = 1;
    /// Each POST carries an idempotency key.
    bool hasKeys = false;
    /// Each call's result is written as an event.
    bool isVerbose = false;
};

/// An open-loop load: calls are due at moments of a Poisson process, whatever becomes of earlier ones.
class LoadGenerator {
public:
    LoadGenerator(StandinProcess&, LoadShape, LoadMix);

    void start();

    /// Makes no further call; run() of the process ends with the last answer.
    void stop();

    const LoadReport& report() const { return m_report; }
    std::chrono::milliseconds elapsed() const;

private:
    using Connection = std::shared_ptr<LoadConnection>;

    void scheduleNext();
    void makeCall(std::chrono::steady_clock::time_point dueAt);
    Connection connectionTo(const tcp::endpoint&);
    void finished(const LoadResult&, bool isReusable, const Connection&);
    void record(const LoadResult&);
    void endWhenIdle();

    StandinProcess& m_process;
    LoadShape m_shape;
    LoadMix m_mix;
    LoadReport m_report;
    std::mt19937_64 m_random;
    boost::asio::steady_timer m_timer;
    std::chrono::steady_clock::time_point m_startedAt;
    std::chrono::steady_clock::time_point m_dueAt;
    std::map<tcp::endpoint, std::vector<Connection>> m_idle;
    std::size_t m_open = 0;
    std::uint64_t m_calls = 0;
    bool m_isStopped = false;
};

}
