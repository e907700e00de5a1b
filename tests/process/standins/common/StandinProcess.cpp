#include "StandinProcess.h"

#include <csignal>
#include <iostream>

namespace carobpath::standins {

namespace {

    Incarnation incarnationNow()
    {
        const auto sinceEpoch = std::chrono::duration_cast<std::chrono::microseconds>(WallClock::now().time_since_epoch());
        return { static_cast<std::uint64_t>(sinceEpoch.count()) };
    }

}

StandinProcess::StandinProcess(const std::string& name)
    : m_signals(m_context, SIGTERM, SIGINT)
    , m_events(std::cout, name, incarnationNow(), m_hybridClock)
{
}

void StandinProcess::run(std::function<void()> onStop)
{
    m_signals.async_wait([onStop = std::move(onStop)](boost::system::error_code ec, int) {
        if (!ec)
            onStop();
    });
    m_context.run();
}

}
