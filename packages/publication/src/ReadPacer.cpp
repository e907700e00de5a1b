#include "carobpath/publication/ReadPacer.h"

#include <algorithm>
#include <cstdint>

namespace carobpath::publication {

namespace {

    std::chrono::milliseconds between(MonotonicTime from, MonotonicTime to)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
    }

}

void ReadPacer::onReadSent(ReadKind kind, MonotonicTime now)
{
    m_pausedAt.reset();
    m_isIdle = false;
    m_kind = kind;
    m_answerMadeAt = now;
}

void ReadPacer::onAnswerBegun(MonotonicTime now)
{
    if (m_kind == ReadKind::LongPoll)
        m_answerMadeAt = now;
}

std::chrono::milliseconds ReadPacer::onNews(MonotonicTime now)
{
    m_lastReadTook = between(m_answerMadeAt, now);
    m_pausedAt = now;
    std::uniform_int_distribution<std::int64_t> interval { s_shortestInterval.count(), s_longestInterval.count() };
    return std::max(s_shortestInterval, std::chrono::milliseconds { interval(m_random) } - m_lastReadTook);
}

void ReadPacer::onIdle(MonotonicTime now)
{
    m_pausedAt = now;
    m_isIdle = true;
}

void ReadPacer::onRetry()
{
    m_pausedAt.reset();
    m_isIdle = false;
}

void ReadPacer::onPosition(StreamPosition position, MonotonicTime now)
{
    const bool hasMoved = position != m_position;
    m_position = position;
    if (m_knownEnd <= m_position)
        m_behindSince.reset();
    else if (hasMoved)
        m_behindSince = now;
}

void ReadPacer::onEndKnown(StreamPosition end, MonotonicTime now)
{
    m_knownEnd = std::max(m_knownEnd, end);
    if (!m_behindSince && m_knownEnd > m_position)
        m_behindSince = now;
}

void ReadPacer::onForwarded(StreamPosition end) { m_forwardedEnd = std::max(m_forwardedEnd, end); }

std::optional<std::chrono::milliseconds> ReadPacer::behindFor(MonotonicTime now) const
{
    return m_behindSince ? std::optional { between(*m_behindSince, now) } : std::nullopt;
}

bool ReadPacer::awaitsActivation(MonotonicTime now) const
{
    return m_behindSince && m_knownEnd <= m_forwardedEnd && now - *m_behindSince < s_activationTimeout;
}

bool ReadPacer::isReadDue(MonotonicTime now) const
{
    if (!m_pausedAt || !m_behindSince || awaitsActivation(now))
        return false;
    return now - *m_behindSince >= s_forwardTimeout && now - *m_pausedAt >= shortestPause();
}

std::chrono::milliseconds ReadPacer::shortestPause() const
{
    return std::clamp(m_lastReadTook, s_shortestPause, s_longestInterval);
}

}
