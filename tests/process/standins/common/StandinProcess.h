#pragma once

#include "carobpath/foundation/EventLog.h"
#include "carobpath/foundation/HybridClock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <string>

namespace carobpath::standins {

/// Kinds of events that only stand-ins write.
namespace event {

    inline constexpr EventName appended { "appended" };
    inline constexpr EventName switched { "switched" };
    inline constexpr EventName executed { "executed" };
    inline constexpr EventName refused { "refused" };
    inline constexpr EventName cancelled { "cancelled" };
    inline constexpr EventName crashed { "crashed" };
    inline constexpr EventName announcementFailed { "announcement-failed" };

}

/// What every stand-in has: one io_context, a time line on standard output, and SIGTERM.
class StandinProcess {
public:
    /// \param name such as "log/main".
    explicit StandinProcess(const std::string& name);

    boost::asio::io_context& context() { return m_context; }
    HybridClock& hybridClock() { return m_hybridClock; }
    EventLog& events() { return m_events; }

    /// Runs until the stop handler has ended the work; SIGTERM and SIGINT call it once.
    void run(std::function<void()> onStop);

    /// Ends run() at once.
    void stop() { m_context.stop(); }

private:
    boost::asio::io_context m_context { 1 };
    boost::asio::signal_set m_signals;
    HybridClock m_hybridClock;
    EventLog m_events;
};

}
