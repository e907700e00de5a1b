#include "carobpath/publication/ReadWatchdog.h"

#include <algorithm>
#include <utility>

namespace carobpath::publication {

std::string_view toString(ReadKind kind)
{
    return kind == ReadKind::LongPoll ? "long-poll" : "immediate";
}

std::chrono::milliseconds ReadWatchdog::deliveryTimeoutFor(std::size_t nodes, double bytesPerSecond)
{
    using Seconds = std::chrono::duration<double>;
    if (bytesPerSecond <= 0)
        return s_deliveryTimeout;
    const Seconds toAnswerAll { static_cast<double>(nodes) * static_cast<double>(s_largeAnswerBytes) / bytesPerSecond };
    const auto timeout = std::min<Seconds>(s_maxDeliveryTimeout, s_deliveryTimeout + toAnswerAll);
    return std::chrono::ceil<std::chrono::milliseconds>(timeout);
}

void ReadWatchdog::setCheckSchedule(const std::optional<CheckSchedule>& schedule, MonotonicTime now)
{
    if (schedule == m_checkSchedule)
        return;
    m_checkSchedule = schedule;
    if (schedule)
        m_checkAt = now + schedule->delay;
}

void ReadWatchdog::onReadSent(ReadKind kind, StreamPosition from, MonotonicTime now)
{
    m_read = Read { kind, from, now, false };
    m_isReadSuspect = false;
}

void ReadWatchdog::onAnswerBegun()
{
    if (m_read)
        m_read->kind = ReadKind::Immediate;
}

void ReadWatchdog::onReadAnswered() { m_read.reset(); }

void ReadWatchdog::onReadFailed(bool timedOut)
{
    if (m_read)
        m_read->hasFailed = true;
    if (timedOut)
        m_repeatedFor = {};
}

void ReadWatchdog::onRecordsRead(MonotonicTime now)
{
    if (m_checkSchedule)
        m_checkAt = now + m_checkSchedule->delay;
}

void ReadWatchdog::onSkippedTo(StreamPosition position, MonotonicTime now)
{
    if (!m_read || position <= m_read->from)
        return;
    m_read->from = position;
    m_behindSince = now;
}

void ReadWatchdog::onEndKnown(StreamPosition end, MonotonicTime now)
{
    if (end <= m_knownEnd)
        return;
    const bool wasBehind = m_read && m_knownEnd > m_read->from;
    m_knownEnd = end;
    if (!wasBehind)
        m_behindSince = now;
}

void ReadWatchdog::onCheckAnswered(StreamPosition end, MonotonicTime now)
{
    m_isChecking = false;
    m_checkBackoff.reset();
    if (m_checkSchedule)
        m_checkAt += m_checkSchedule->interval;
    m_checkAt = std::max(m_checkAt, now);
    if (const auto failedAt = std::exchange(m_checkFailedAt, std::nullopt))
        m_isReadSuspect = m_read && m_read->sentAt < *failedAt;
    onEndKnown(end, now);
}

void ReadWatchdog::onCheckFailed(bool answered, MonotonicTime now)
{
    m_isChecking = false;
    if (!answered)
        m_checkFailedAt = now;
    m_checkAt = now + m_checkBackoff.next(m_random);
}

ReadStep ReadWatchdog::next(MonotonicTime now)
{
    if (isOverdue(now)) {
        m_repeatedFor = m_knownEnd;
        return ReadStep::ReadAgain;
    }
    if (!isCheckDue(now))
        return ReadStep::Wait;
    m_isChecking = true;
    return ReadStep::CheckEnd;
}

bool ReadWatchdog::isOverdue(MonotonicTime now) const
{
    if (!m_read)
        return false;
    if (m_read->kind == ReadKind::Immediate && !m_read->hasFailed)
        return false;
    if (m_isReadSuspect && !m_read->hasFailed)
        return true;
    const bool isBehind = m_knownEnd > m_read->from && m_knownEnd > m_repeatedFor;
    return isBehind && now - std::max(m_behindSince, m_read->sentAt) >= m_deliveryTimeout;
}

bool ReadWatchdog::isCheckDue(MonotonicTime now) const
{
    // A read that failed is repeated soon, which shows as much as a check.
    const bool isPending = m_read && !m_read->hasFailed;
    return m_checkSchedule && isPending && !m_isChecking && now >= m_checkAt;
}

}
