#pragma once

#include "BackendModel.h"

#include "common/HttpSession.h"
#include "common/StandinProcess.h"

#include <chrono>

namespace carobpath::standins {

/// Announces the backend server at its node's admin address, once a second and on each change.
class Announcer {
public:
    static constexpr std::chrono::milliseconds s_interval { 1000 };
    static constexpr std::chrono::milliseconds s_timeout { 1000 };

    Announcer(StandinProcess&, const BackendModel&, tcp::endpoint node, tcp::endpoint self);

    /// Starts the cycle.
    void start();

    /// Announces the present state now.
    void announce();

private:
    void scheduleNext();
    std::string body() const;

    StandinProcess& m_process;
    const BackendModel& m_model;
    tcp::endpoint m_node;
    tcp::endpoint m_self;
    boost::asio::steady_timer m_timer;
};

}
