#include "internal/LinkGate.h"

#include <utility>

namespace carobpath::gateway::Detail {

LinkGate::LinkGate(boost::asio::io_context& context, double bytesPerSecond)
    : m_pacer(bytesPerSecond)
    , m_timer(context)
{
}

LinkUse LinkGate::use(bool isDownload, std::optional<MonotonicTime> objective)
{
    if (!isPacing())
        return {};
    return { this, isDownload, objective };
}

void LinkGate::onShortCall(MonotonicTime objective, MonotonicTime now)
{
    if (isPacing())
        m_pacer.onShortCall(objective - now, now);
}

void LinkGate::onWritten(std::size_t bytes)
{
    m_pacer.onWritten(bytes, MonotonicClock::now());
}

LinkGate::BodyId LinkGate::begin(std::optional<MonotonicTime> objective, std::function<std::size_t()> unacknowledged)
{
    const auto id = m_pacer.addBody(objective);
    m_unacknowledged.emplace(id, std::move(unacknowledged));
    return id;
}

void LinkGate::readAcknowledgements()
{
    const auto now = MonotonicClock::now();
    for (const auto& [id, unacknowledged] : m_unacknowledged)
        m_pacer.onUnacknowledged(id, unacknowledged(), now);
}

void LinkGate::awaitTurn(BodyId id, std::size_t bytes, std::function<void()> turn)
{
    if (m_isStopped) {
        turn();
        return;
    }
    m_turns.emplace(id, std::move(turn));
    m_pacer.askTurn(id, bytes, MonotonicClock::now());
    giveTurns();
}

void LinkGate::end(BodyId id)
{
    m_turns.erase(id);
    m_unacknowledged.erase(id);
    m_pacer.removeBody(id);
}

void LinkGate::giveTurns()
{
    readAcknowledgements();
    const auto now = MonotonicClock::now();
    while (const auto id = m_pacer.takeTurn(now)) {
        const auto turn = m_turns.extract(*id);
        turn.mapped()();
    }
    const auto next = m_pacer.nextTurn(now);
    if (!next)
        return;
    m_timer.expires_at(*next);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec && !m_isStopped)
            giveTurns();
    });
}

void LinkGate::stop()
{
    m_isStopped = true;
    m_timer.cancel();
    for (const auto& [id, turn] : std::exchange(m_turns, {}))
        turn();
}

}
