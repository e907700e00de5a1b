#include "internal/DrainDriver.h"

#include <algorithm>
#include <utility>

namespace carobpath::node::Detail {

namespace {

    constexpr std::chrono::milliseconds checkInterval { 20 };
    /// Time for the news of the leaving to reach the nodes that still forward calls here.
    constexpr std::chrono::milliseconds leaveNotice { 1'000 };
    /// Time that a slow machine takes to end the process; whoever asked it to stop kills it when the grace is over.
    constexpr std::chrono::milliseconds endTime { 400 };
    /// Time for the answers to calls that are ended to go out.
    constexpr std::chrono::milliseconds answerTime { 100 };

}

DrainDriver::DrainDriver(boost::asio::io_context& io, gateway::Gateway& gateway)
    : m_gateway(gateway)
    , m_timer(io)
{
}

void DrainDriver::start(const NodeSettings::Drain& settings, std::function<void()> ended)
{
    const auto now = MonotonicClock::now();
    m_ended = std::move(ended);
    m_stopAcceptingAt = now + settings.accept;
    m_closeIdleAt = std::max(now + leaveNotice, m_stopAcceptingAt);
    m_giveUpAt = now + std::max<std::chrono::microseconds>(settings.grace - endTime, leaveNotice);
    m_deadline = m_giveUpAt - answerTime;
    m_gateway.announceClose();
    check();
}

void DrainDriver::check()
{
    const auto now = MonotonicClock::now();
    if (now >= m_stopAcceptingAt)
        m_gateway.stopAccepting();
    const bool isIdle = now >= m_closeIdleAt && m_gateway.openConnections() == 0;
    if (now >= m_closeIdleAt)
        m_gateway.closeIdle();
    if (now >= m_deadline)
        m_gateway.endUnanswered();
    if (isIdle || now >= m_giveUpAt)
        m_ended();
    else
        scheduleCheck();
}

void DrainDriver::scheduleCheck()
{
    m_timer.expires_after(checkInterval);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            check();
    });
}

}
