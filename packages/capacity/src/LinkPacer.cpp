#include "carobpath/capacity/LinkPacer.h"

#include <algorithm>

namespace carobpath::capacity {

using std::chrono::duration_cast;
using std::chrono::nanoseconds;

LinkPacer::LinkPacer(double bytesPerSecond)
    : m_bytesPerSecond(bytesPerSecond * s_payloadShare)
{
}

std::size_t LinkPacer::pieceBytes() const
{
    const std::chrono::duration<double> time { s_pieceTime };
    return std::max<std::size_t>(1, static_cast<std::size_t>(m_bytesPerSecond * time.count()));
}

void LinkPacer::onShortCall(nanoseconds timeLeft, MonotonicTime now)
{
    if (timeLeft > nanoseconds {})
        m_shortestTime.add(timeLeft, now);
}

void LinkPacer::onWritten(std::size_t bytes, MonotonicTime now)
{
    if (isPacing())
        m_busyUntil = std::max(m_busyUntil, now) + transferTime(bytes);
}

LinkPacer::BodyId LinkPacer::addBody(std::optional<MonotonicTime> objective)
{
    Body body;
    body.objective = objective;
    const auto least = std::min_element(m_bodies.begin(), m_bodies.end(), [](const auto& a, const auto& b) { return a.second.bytes < b.second.bytes; });
    if (least != m_bodies.end())
        body.bytes = least->second.bytes;
    m_bodies.emplace(++m_lastBody, body);
    return m_lastBody;
}

void LinkPacer::removeBody(BodyId id)
{
    m_bodies.erase(id);
}

void LinkPacer::onUnacknowledged(BodyId id, std::size_t bytes, MonotonicTime now)
{
    auto& body = m_bodies.at(id);
    if (bytes < body.unacknowledgedBytes || body.unacknowledgedBytes == 0)
        body.progressAt = now;
    body.unacknowledgedBytes = bytes;
}

bool LinkPacer::isStalled(const Body& body, MonotonicTime now)
{
    return body.unacknowledgedBytes > 0 && now - body.progressAt > s_stall;
}

void LinkPacer::askTurn(BodyId id, std::size_t bytes, MonotonicTime now)
{
    m_bodies.at(id).asked = Asked { bytes, now };
}

std::optional<LinkPacer::BodyId> LinkPacer::takeTurn(MonotonicTime now)
{
    const auto at = nextTurn(now);
    if (!at || *at > now)
        return std::nullopt;
    const auto id = nextBody(now)->first;
    auto& body = m_bodies.at(id);
    body.bytes += body.asked->bytes;
    onUnacknowledged(id, body.unacknowledgedBytes + body.asked->bytes, now);
    onWritten(body.asked->bytes, now);
    body.asked.reset();
    return id;
}

std::optional<MonotonicTime> LinkPacer::nextTurn(MonotonicTime now) const
{
    const auto next = nextBody(now);
    if (next == m_bodies.end())
        return std::nullopt;
    // A piece larger than the bound goes out on an idle link.
    const auto ahead = backlog(now);
    const auto excess = std::min(ahead, ahead + transferTime(next->second.asked->bytes) - maxBacklog(now));
    return excess > nanoseconds {} ? now + std::max<nanoseconds>(excess, s_checkInterval) : now;
}

LinkPacer::Bodies::const_iterator LinkPacer::nextBody(MonotonicTime now) const
{
    auto next = m_bodies.end();
    for (auto it = m_bodies.begin(); it != m_bodies.end(); ++it) {
        if (it->second.asked && (next == m_bodies.end() || goesBefore(it->second, next->second, now)))
            next = it;
    }
    return next;
}

bool LinkPacer::goesBefore(const Body& first, const Body& second, MonotonicTime now)
{
    const auto isOverdue = [now](const Body& it) { return now - it.asked->at > s_maxTurnWait; };
    if (isOverdue(first) != isOverdue(second))
        return isOverdue(first);
    if (isOverdue(first) && first.asked->at != second.asked->at)
        return first.asked->at < second.asked->at;
    const auto firstObjective = first.objective.value_or(MonotonicTime::max());
    const auto secondObjective = second.objective.value_or(MonotonicTime::max());
    if (firstObjective != secondObjective)
        return firstObjective < secondObjective;
    return first.bytes < second.bytes;
}

nanoseconds LinkPacer::transferTime(std::size_t bytes) const
{
    if (bytes == 0)
        return {};
    return duration_cast<nanoseconds>(std::chrono::duration<double> { static_cast<double>(bytes) / m_bytesPerSecond });
}

nanoseconds LinkPacer::backlog(MonotonicTime now) const
{
    std::size_t unacknowledged = 0;
    for (const auto& [id, body] : m_bodies)
        unacknowledged += isStalled(body, now) ? 0 : body.unacknowledgedBytes;
    return std::max<nanoseconds>({ m_busyUntil - now, transferTime(unacknowledged), nanoseconds {} });
}

nanoseconds LinkPacer::maxBacklog(MonotonicTime now) const
{
    const auto shortest = m_shortestTime.value(now);
    if (!shortest)
        return s_maxBacklog;
    const std::chrono::duration<double, std::nano> bearable { static_cast<double>(shortest->count()) * s_waitFraction };
    return std::clamp<nanoseconds>(duration_cast<nanoseconds>(bearable), s_minBacklog, s_maxBacklog);
}

LinkLoad LinkPacer::load(MonotonicTime now) const
{
    LinkLoad load { backlog(now) };
    for (const auto& [id, body] : m_bodies) {
        load.waiting += body.asked ? 1 : 0;
        load.unacknowledgedBytes += body.unacknowledgedBytes;
    }
    return load;
}

}
