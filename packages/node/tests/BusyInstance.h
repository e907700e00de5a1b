#pragma once

/// \file
/// An instance in virtual time: a link of 11 Mbit/s in each direction and a tenth of a core, on which configurations are read while calls, their
/// inner calls and downloads pass.

#include "VirtualInstance.h"
#include "carobpath/capacity/LinkPacer.h"
#include "carobpath/distribution/GossipEngine.h"
#include "carobpath/foundation/Time.h"
#include "carobpath/publication/ReadWatchdog.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <vector>

namespace carobpath::node::tests {

/// Bytes that one read takes at the most.
struct ReadSizes {
    std::size_t ofStore = 0;
    std::size_t ofUpstream = 0;
};

/// What passes beside the calls.
struct BusyLoad {
    Duration downloadInterval = 250ms;
    /// Time between two configurations.
    Duration configurationInterval = 1s;
    /// Part of its stated rate that the instance's link carries.
    double carriedPart = 1;
    /// Downloads at a time; those beyond are refused.
    std::size_t mostDownloads = std::numeric_limits<std::size_t>::max();
    /// Size of what a version changes, if another node forwards it; 0 if the whole set is read.
    std::size_t changeBytes = 0;
};

class BusyInstance {
public:
    explicit BusyInstance(ReadSizes reads, const BusyLoad& load = {})
        : m_reads(reads)
        , m_load(load)
        , m_in(m_time, load.carriedPart)
        , m_out(m_time, load.carriedPart)
    {
    }

    /// Downloads begin at another interval from now on.
    void setDownloadInterval(Duration interval) { m_load.downloadInterval = interval; }

    /// Calls, each with an inner call of its own, and downloads pass while a new configuration is written each second.
    void run(std::chrono::seconds time)
    {
        const auto end = m_time.now + time;
        repeat(s_callInterval, end, [this] { call(); });
        repeat(m_load.downloadInterval, end, [this] { download(); });
        repeat(s_tickInterval, end, [this] { tick(); });
        repeat(m_load.configurationInterval, end, [this] { writeConfiguration(); });
        if (!m_isPolling && m_load.changeBytes == 0)
            poll();
        m_time.runUntil(end + s_afterRun);
    }

    /// Time from the writing of a version until one as new is in force, of each version.
    std::vector<Duration> configurationAges;
    /// Time that inner calls take besides their work.
    std::vector<Duration> innerCallDelays;
    std::size_t downloadsBegun = 0;
    /// Those that were written whole.
    std::size_t downloads = 0;

    static constexpr std::size_t s_downloadBytes = 90'000;

private:
    static constexpr Duration s_callInterval = 12ms;
    static constexpr Duration s_tickInterval = 100ms;
    static constexpr Duration s_afterRun = 1s;
    static constexpr Duration s_tellingTime = 100ms;
    static constexpr Duration s_callTimeLeft = 400ms;
    static constexpr Duration s_downloadObjective = 1500ms;
    static constexpr std::size_t s_configurationBytes = 350'000;
    static constexpr std::size_t s_messageBytes = 1'000;
    static constexpr Duration s_workOfMessage = 300us;
    static constexpr Duration s_workOfConfiguration = 25ms;
    /// To apply what other nodes forwarded, however many versions it leads over.
    static constexpr Duration s_workOfChange = 10ms;
    static constexpr std::size_t s_neighbours = 5;

    void repeat(Duration interval, MonotonicTime end, const std::function<void()>& action)
    {
        if (m_time.now >= end)
            return;
        action();
        m_time.after(interval, [this, interval, end, action] { repeat(interval, end, action); });
    }

    /// A message of a call arrives, is handled and answered.
    void message(const std::function<void()>& answered)
    {
        m_pacer.onShortCall(s_callTimeLeft, m_time.now);
        m_in.send(s_messageBytes, [this, answered] {
            m_thread.post(s_workOfMessage, [this, answered] {
                m_pacer.onWritten(s_messageBytes, m_time.now);
                m_out.send(s_messageBytes, answered);
            });
        });
    }

    void call()
    {
        message([this] {
            const auto startedAt = m_time.now;
            message([this, startedAt] { innerCallDelays.push_back(m_time.now - startedAt); });
        });
    }

    void download()
    {
        if (m_downloads.size() >= m_load.mostDownloads)
            return;
        ++downloadsBegun;
        const auto id = m_pacer.addBody(m_time.now + s_downloadObjective);
        m_downloads[id] = {};
        m_inflows.emplace_back(m_in, m_thread, s_downloadBytes, m_reads.ofUpstream, [this, id](std::size_t n) {
            auto& it = m_downloads.at(id);
            it.read += n;
            if (!it.isAsking)
                askTurn(id);
        });
    }

    void askTurn(capacity::LinkPacer::BodyId id)
    {
        auto& it = m_downloads.at(id);
        it.isAsking = it.read > it.written;
        if (!it.isAsking)
            return;
        it.asked = std::min(it.read - it.written, m_pacer.pieceBytes());
        m_pacer.askTurn(id, it.asked, m_time.now);
        giveTurns();
    }

    void giveTurns()
    {
        for (const auto& [id, it] : m_downloads)
            m_pacer.onUnacknowledged(id, it.unacknowledged, m_time.now);
        while (const auto id = m_pacer.takeTurn(m_time.now)) {
            auto& it = m_downloads.at(*id);
            const auto n = it.asked;
            it.written += n;
            it.unacknowledged += n;
            m_thread.post(s_workOfMessage / 4, [this, n, id = *id] {
                m_out.send(n, [this, id, n] { onAcknowledged(id, n); });
                onWritten(id);
            });
        }
        const auto next = m_pacer.nextTurn(m_time.now);
        if (!next || (m_nextTurnAt > m_time.now && m_nextTurnAt <= *next))
            return;
        m_nextTurnAt = *next;
        m_time.at(*next, [this, at = *next] {
            if (m_nextTurnAt == at)
                giveTurns();
        });
    }

    void onAcknowledged(capacity::LinkPacer::BodyId id, std::size_t n)
    {
        if (const auto it = m_downloads.find(id); it != m_downloads.end())
            it->second.unacknowledged -= n;
    }

    void onWritten(capacity::LinkPacer::BodyId id)
    {
        if (m_downloads.at(id).written < s_downloadBytes) {
            askTurn(id);
            return;
        }
        m_pacer.removeBody(id);
        m_downloads.erase(id);
        ++downloads;
    }

    void writeConfiguration()
    {
        m_writtenAt.push_back(m_time.now);
        const auto end = position(m_writtenAt.size());
        if (m_load.changeBytes > 0) {
            receiveChange(m_writtenAt.size());
            return;
        }
        m_time.after(s_tellingTime, [this, end] { m_watchdog.onEndKnown(end, m_time.now); });
        if (m_isPolling)
            answer(publication::ReadKind::LongPoll);
    }

    /// What a version changes comes from another node and goes on to the neighbours.
    void receiveChange(std::size_t version)
    {
        m_in.send(m_load.changeBytes, [this, version] {
            m_thread.post(s_workOfMessage, [this, version] { m_forwarded = version; });
            for (std::size_t i = 0; i < s_neighbours; ++i)
                m_thread.post(s_workOfMessage, [this] { m_out.send(m_load.changeBytes, [] {}); });
        });
    }

    void applyChanges()
    {
        if (m_forwarded <= m_inForce || m_time.now < m_activationAt)
            return;
        m_activationAt = MonotonicTime::max();
        m_thread.post(s_workOfChange, [this, version = m_forwarded, begunAt = m_time.now] {
            for (; m_inForce < version; ++m_inForce)
                configurationAges.push_back(m_time.now - m_writtenAt[m_inForce]);
            const auto wait = (m_time.now - begunAt) * distribution::GossipEngine::s_activationWaitFactor;
            m_activationAt = m_time.now + std::min<Duration>(wait, distribution::GossipEngine::s_longestActivationWait);
        });
    }

    /// Reads the next version, or waits for it.
    void poll()
    {
        m_watchdog.onReadSent(publication::ReadKind::LongPoll, position(m_inForce), m_time.now);
        m_isPolling = true;
        if (m_writtenAt.size() > m_inForce)
            answer(publication::ReadKind::LongPoll);
    }

    void answer(publication::ReadKind kind)
    {
        m_isPolling = false;
        const auto version = m_writtenAt.size();
        // Values are in base64 in a listing.
        const auto bytes = kind == publication::ReadKind::LongPoll ? s_configurationBytes : s_configurationBytes / 3 * 4;
        const auto number = ++m_readNumber;
        m_read = 0;
        m_inflows.emplace_back(m_in, m_thread, bytes, m_reads.ofStore, [this, bytes, version, number](std::size_t n) {
            if (number != m_readNumber)
                return;
            m_watchdog.onAnswerBegun();
            m_read += n;
            if (m_read >= bytes)
                m_thread.post(s_workOfConfiguration, [this, version] { apply(version); });
        });
    }

    void apply(std::size_t version)
    {
        for (; m_inForce < version; ++m_inForce)
            configurationAges.push_back(m_time.now - m_writtenAt[m_inForce]);
        m_watchdog.onReadAnswered();
        m_watchdog.onRecordsRead(m_time.now);
        poll();
    }

    void tick()
    {
        applyChanges();
        if (m_watchdog.next(m_time.now) != publication::ReadStep::ReadAgain)
            return;
        m_watchdog.onReadSent(publication::ReadKind::Immediate, position(m_inForce), m_time.now);
        answer(publication::ReadKind::Immediate);
    }

    static publication::StreamPosition position(std::size_t offset) { return { {}, offset }; }

    struct Download {
        std::size_t read = 0;
        std::size_t written = 0;
        std::size_t asked = 0;
        std::size_t unacknowledged = 0;
        bool isAsking = false;
    };

    ReadSizes m_reads;
    BusyLoad m_load;
    VirtualTime m_time;
    Link m_in;
    Link m_out;
    Thread m_thread { m_time };
    capacity::LinkPacer m_pacer { Link::s_bytesPerSecond };
    publication::ReadWatchdog m_watchdog { std::mt19937_64(1) };
    MonotonicTime m_nextTurnAt {};
    std::deque<Inflow> m_inflows;
    std::map<capacity::LinkPacer::BodyId, Download> m_downloads;
    std::vector<MonotonicTime> m_writtenAt;
    std::size_t m_inForce = 0;
    /// The newest version that another node has forwarded.
    std::size_t m_forwarded = 0;
    MonotonicTime m_activationAt;
    std::uint64_t m_readNumber = 0;
    std::size_t m_read = 0;
    bool m_isPolling = false;
};

}
