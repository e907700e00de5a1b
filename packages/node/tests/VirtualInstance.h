#pragma once

/// \file
/// The clock, the link and the thread of an instance in virtual time.

#include "carobpath/foundation/Time.h"

#include <algorithm>
#include <functional>
#include <map>

namespace carobpath::node::tests {

using namespace std::chrono_literals;
using Duration = MonotonicClock::duration;

/// Runs events in the order of their times.
class VirtualTime {
public:
    void after(Duration time, std::function<void()> event) { at(now + time, std::move(event)); }
    void at(MonotonicTime time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }
    void runUntil(MonotonicTime end)
    {
        while (!m_events.empty() && m_events.begin()->first < end) {
            const auto it = m_events.extract(m_events.begin());
            now = it.key();
            it.mapped()();
        }
        now = end;
    }

    MonotonicTime now { 1h };

private:
    std::multimap<MonotonicTime, std::function<void()>> m_events;
};

/// One direction of a link: what is sent first arrives first.
class Link {
public:
    /// \param carriedPart part of the stated rate that the link carries.
    explicit Link(VirtualTime& time, double carriedPart = 1)
        : m_time(time)
        , m_carriedPart(carriedPart)
    {
    }

    void send(std::size_t bytes, std::function<void()> arrived)
    {
        const std::chrono::duration<double> transfer { static_cast<double>(bytes) / (s_bytesPerSecond * m_carriedPart) };
        m_busyUntil = std::max(m_busyUntil, m_time.now) + std::chrono::duration_cast<Duration>(transfer);
        m_time.at(m_busyUntil, std::move(arrived));
    }

    static constexpr double s_bytesPerSecond = 11e6 / 8;

private:
    VirtualTime& m_time;
    double m_carriedPart;
    MonotonicTime m_busyUntil;
};

/// One thread with a tenth of a core, which runs what is due in turn.
class Thread {
public:
    explicit Thread(VirtualTime& time)
        : m_time(time)
    {
    }

    /// \param work time at full speed.
    void post(Duration work, std::function<void()> done)
    {
        m_busyUntil = std::max(m_busyUntil, m_time.now) + work * s_slowness;
        m_time.at(m_busyUntil, std::move(done));
    }

private:
    static constexpr int s_slowness = 10;

    VirtualTime& m_time;
    MonotonicTime m_busyUntil;
};

/// Bytes of one connection into the instance. The sender keeps a window full; the reader takes some of what is there at each turn of the thread.
class Inflow {
public:
    Inflow(Link& link, Thread& thread, std::size_t bytes, std::size_t readBytes, std::function<void(std::size_t read)> onRead)
        : m_link(link)
        , m_thread(thread)
        , m_unsent(bytes)
        , m_readBytes(readBytes)
        , m_onRead(std::move(onRead))
    {
        fill();
    }

private:
    static constexpr std::size_t s_windowBytes = 64UL * 1024;
    static constexpr std::size_t s_packetBytes = 1'460;
    static constexpr Duration s_workOfRead = 50us;

    void fill()
    {
        while (m_unsent > 0 && m_inFlight + m_unread < s_windowBytes) {
            const auto n = std::min(m_unsent, s_packetBytes);
            m_unsent -= n;
            m_inFlight += n;
            m_link.send(n, [this, n] {
                m_inFlight -= n;
                m_unread += n;
                read();
            });
        }
    }

    void read()
    {
        if (m_isReading || m_unread == 0)
            return;
        m_isReading = true;
        m_thread.post(s_workOfRead, [this] {
            m_isReading = false;
            const auto n = std::min(m_unread, m_readBytes);
            m_unread -= n;
            fill();
            m_onRead(n);
            read();
        });
    }

    Link& m_link;
    Thread& m_thread;
    std::size_t m_unsent;
    std::size_t m_readBytes;
    std::function<void(std::size_t)> m_onRead;
    std::size_t m_inFlight = 0;
    std::size_t m_unread = 0;
    bool m_isReading = false;
};

}
