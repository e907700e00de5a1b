#pragma once

/// \file
/// A link in virtual time that carries downloads, short answers, and bytes that its pacer is not told of.

#include "carobpath/capacity/LinkPacer.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <random>

namespace carobpath::capacity::tests {

using namespace std::chrono_literals;

/// What passes over the link.
struct LinkDemand {
    /// Rate that the pacer is told.
    double statedBytesPerSecond = 11e6 / 8;
    /// Part of the stated rate that the link carries.
    double carriedPart = 1;
    /// Downloads that arrive, as a part of the stated rate.
    double downloads = 1;
    /// Bytes without a turn that the pacer is not told of, as a part of the stated rate.
    double uncounted = 0.08;
};

/// Sends what it is handed in order. Receivers acknowledge what has arrived.
class SharedLink {
public:
    explicit SharedLink(const LinkDemand& demand)
        : m_demand(demand)
        , m_pacer(demand.statedBytesPerSecond)
    {
    }

    /// Downloads may arrive at another rate from now on.
    void setDownloads(double partOfRate) { m_demand.downloads = partOfRate; }

    void run(std::chrono::seconds time)
    {
        const auto begun = m_now;
        longestWait = {};
        m_carriedSince = m_carried;
        for (const auto end = m_now + time; m_now < end; m_now += s_step)
            step();
        utilization = (m_carried - m_carriedSince) / (m_demand.statedBytesPerSecond * m_demand.carriedPart * std::chrono::duration<double> { m_now - begun }.count());
    }

    /// Longest wait of a short answer for the link, in the last run.
    std::chrono::nanoseconds longestWait {};
    /// Part of the time for which the link was busy, in the last run.
    double utilization = 0;

    static constexpr std::chrono::milliseconds s_objective { 150 };

private:
    static constexpr std::chrono::milliseconds s_step { 2 };
    static constexpr std::chrono::milliseconds s_shortInterval { 14 };
    static constexpr std::chrono::milliseconds s_roundTrip { 4 };
    static constexpr std::size_t s_shortBytes = 700;
    static constexpr std::size_t s_downloadBytes = 90'000;
    static constexpr std::size_t s_mostDownloads = 12;

    /// Bytes of one write, until their receiver has acknowledged them.
    struct Written {
        LinkPacer::BodyId body = 0;
        std::size_t bytes = 0;
        MonotonicTime acknowledgedAt;
    };

    double rate() const { return m_demand.statedBytesPerSecond * m_demand.carriedPart; }

    MonotonicTime send(double bytes)
    {
        m_busyUntil = std::max(m_busyUntil, m_now) + std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double> { bytes / rate() });
        m_carried += bytes;
        return m_busyUntil;
    }

    void step()
    {
        sendUncounted();
        if (m_now >= m_nextShort)
            answerShort();
        beginDownloads();
        acknowledge();
        while (const auto id = m_pacer.takeTurn(m_now))
            write(*id);
    }

    void sendUncounted()
    {
        send(m_demand.uncounted * m_demand.statedBytesPerSecond * std::chrono::duration<double> { s_step }.count());
    }

    void answerShort()
    {
        m_nextShort = m_now + s_shortInterval;
        m_pacer.onShortCall(s_objective, m_now);
        longestWait = std::max<std::chrono::nanoseconds>(longestWait, m_busyUntil - m_now);
        send(s_shortBytes);
        m_pacer.onWritten(s_shortBytes, m_now);
    }

    void beginDownloads()
    {
        m_due += m_demand.downloads * m_demand.statedBytesPerSecond * std::chrono::duration<double> { s_step }.count();
        for (; m_due >= s_downloadBytes; m_due -= s_downloadBytes) {
            // Those beyond are refused, as by an admission.
            if (m_left.size() >= s_mostDownloads)
                continue;
            const auto id = m_pacer.addBody(m_now + 1500ms);
            m_left[id] = s_downloadBytes;
            ask(id);
        }
    }

    void acknowledge()
    {
        while (!m_written.empty() && m_written.front().acknowledgedAt <= m_now) {
            m_unacknowledged[m_written.front().body] -= m_written.front().bytes;
            m_written.pop_front();
        }
        for (const auto& [id, left] : m_left)
            m_pacer.onUnacknowledged(id, m_unacknowledged[id], m_now);
    }

    void ask(LinkPacer::BodyId id) { m_pacer.askTurn(id, std::min(m_left.at(id), m_pacer.pieceBytes()), m_now); }

    void write(LinkPacer::BodyId id)
    {
        const auto n = std::min(m_left.at(id), m_pacer.pieceBytes());
        m_written.push_back({ id, n, send(static_cast<double>(n)) + s_roundTrip });
        m_unacknowledged[id] += n;
        m_left.at(id) -= n;
        if (m_left.at(id) > 0) {
            ask(id);
            return;
        }
        m_left.erase(id);
        m_pacer.removeBody(id);
    }

    LinkDemand m_demand;
    LinkPacer m_pacer;
    MonotonicTime m_now { 1000s };
    MonotonicTime m_busyUntil { m_now };
    MonotonicTime m_nextShort { m_now };
    double m_due = 0;
    double m_carried = 0;
    double m_carriedSince = 0;
    std::map<LinkPacer::BodyId, std::size_t> m_left;
    std::map<LinkPacer::BodyId, std::size_t> m_unacknowledged;
    std::deque<Written> m_written;
};

}
