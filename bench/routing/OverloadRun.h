#pragma once

#include "BackendModel.h"
#include "EventQueue.h"
#include "Report.h"

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

namespace carobpath::bench {

/// Moments in which a part of the upstreams is slower; each time, others are drawn.
struct SlowMoments {
    double share = 0;
    double factor = 1;
    std::chrono::milliseconds every { 600 };

    /// \returns the part of the speed that is left on average.
    double meanSpeed() const { return 1 - share + share / factor; }
};

/// One service under a constant load of repeatable calls.
struct OverloadCase {
    std::string name;
    std::size_t upstreams = 7;
    BackendSize backend;
    std::chrono::microseconds hop { 500 };
    std::chrono::milliseconds timeout { 1000 };
    /// The first upstream takes this many times as long for a call as the others.
    int firstIsSlower = 1;
    /// Speeds of the upstreams as multiples of the usual one, in turn within each failure domain; empty if all are equal.
    std::vector<double> speeds;
    SlowMoments slowMoments;
    /// Time within which an answer is of use; 0 if any answer is.
    std::chrono::milliseconds objective {};
    /// Whether the nodes decide as those of a fleet do and report their load with each answer.
    bool inFleet = false;
    std::size_t domains = 3;
    /// Relative numbers of calls that the callers of each failure domain send; empty if all are alike.
    std::vector<double> domainLoads;
    /// Entry nodes; 0 for one beside each upstream.
    std::size_t entries = 0;
    /// Whether the nodes weigh the upstreams by learned speed.
    bool learnsSpeed = false;
    /// Calls offered as a multiple of what the upstreams can serve.
    double load = 2;

    double speedOf(std::size_t upstream) const { return speeds.empty() ? 1 : speeds[upstream / domains % speeds.size()]; }
};

/// What became of the calls.
struct OverloadCounts {
    std::uint64_t calls = 0;
    std::uint64_t attempts = 0;
    std::uint64_t answered = 0;
    std::uint64_t inTime = 0;
    std::uint64_t refused = 0;
    std::uint64_t late = 0;
    /// By the failure domain of the caller, where the run tells it.
    std::map<std::size_t, std::uint64_t> callsByDomain;
    std::map<std::size_t, std::uint64_t> inTimeByDomain;
    /// Attempts that left the failure domain of their caller.
    std::uint64_t remote = 0;
    std::vector<double> answerMilliseconds;
    std::vector<double> refusalMilliseconds;
};

/// Offers calls in virtual time and counts what became of them. A derived class carries one call.
class OverloadRun {
public:
    static constexpr std::chrono::seconds s_warmUp { 5 };
    static constexpr std::chrono::seconds s_measured { 20 };

    OverloadRun(OverloadCase it, std::uint64_t seed)
        : m_case(std::move(it))
        , m_random(seed)
    {
        for (std::size_t i = 0; i < m_case.upstreams; ++i) {
            auto size = m_case.backend;
            size.meanService *= i == 0 ? m_case.firstIsSlower : 1;
            size.meanService = std::chrono::duration_cast<std::chrono::microseconds>(size.meanService / m_case.speedOf(i));
            m_backends.push_back(std::make_unique<BackendModel>(m_queue, size, seed * 100 + i));
        }
    }
    virtual ~OverloadRun() = default;
    OverloadRun(const OverloadRun&) = delete;
    OverloadRun& operator=(const OverloadRun&) = delete;

    Report::Row run(const std::string& policy)
    {
        if (m_case.slowMoments.share > 0)
            drawSlowUpstreams();
        arrive();
        m_queue.runUntil(m_queue.now() + s_warmUp);
        m_counts = {};
        const auto offeredBefore = offered();
        const auto firstBefore = offeredTo(0);
        m_queue.runUntil(m_queue.now() + s_measured);
        const auto calls = static_cast<double>(m_counts.calls);
        const auto perCall = [calls](std::uint64_t n) { return static_cast<double>(n) / calls; };
        return { { "case", m_case.name }, { "load", m_case.load }, { "policy", policy },
            { "sent/call", perCall(offered() - offeredBefore) }, { "attempts/call", perCall(m_counts.attempts) },
            { "answered", perCall(m_counts.answered) },
            { "in time", perCall(m_counts.inTime) }, { "worst domain", worstDomain() }, { "remote", perCall(m_counts.remote) }, { "of capacity", perCall(m_counts.answered) * m_case.load },
            { "refused", perCall(m_counts.refused) }, { "late", perCall(m_counts.late) },
            { "answer p50 ms", quantile(m_counts.answerMilliseconds, 0.5) },
            { "answer p99 ms", quantile(m_counts.answerMilliseconds, 0.99) },
            { "refusal p99 ms", quantile(m_counts.refusalMilliseconds, 0.99) },
            { "to first", static_cast<double>(offeredTo(0) - firstBefore) / static_cast<double>(offered() - offeredBefore) } };
    }

protected:
    virtual void startCall() = 0;

    void onCallOf(std::size_t domain) { ++m_counts.callsByDomain[domain]; }
    void onAnswerFor(std::size_t domain, MonotonicTime since)
    {
        if (isInTime(since))
            ++m_counts.inTimeByDomain[domain];
    }
    void onRemoteAttempt() { ++m_counts.remote; }
    void onAnswered(MonotonicTime since)
    {
        ++m_counts.answered;
        m_counts.inTime += isInTime(since) ? 1 : 0;
        m_counts.answerMilliseconds.push_back(millisecondsSince(since));
    }
    void onRefused(MonotonicTime since)
    {
        ++m_counts.refused;
        m_counts.refusalMilliseconds.push_back(millisecondsSince(since));
    }
    void onLate() { ++m_counts.late; }
    void onAttempt() { ++m_counts.attempts; }

    const OverloadCase& overloadCase() const { return m_case; }
    EventQueue& queue() { return m_queue; }
    BackendModel& backend(std::size_t index) { return *m_backends[index]; }
    std::uint64_t offeredTo(std::size_t index) const { return m_backends[index]->offered(); }
    std::mt19937_64& random() { return m_random; }

private:
    bool isInTime(MonotonicTime since) const { return m_case.objective.count() == 0 || m_queue.now() - since <= m_case.objective; }

    /// \returns the part of the calls that were answered in time of the failure domain where it is smallest.
    double worstDomain() const
    {
        double worst = 1;
        for (const auto& [domain, calls] : m_counts.callsByDomain) {
            const auto inTime = m_counts.inTimeByDomain.find(domain);
            const auto served = inTime == m_counts.inTimeByDomain.end() ? 0 : inTime->second;
            worst = std::min(worst, static_cast<double>(served) / static_cast<double>(calls));
        }
        return worst;
    }

    double millisecondsSince(MonotonicTime since) const
    {
        return std::chrono::duration<double, std::milli>(m_queue.now() - since).count();
    }

    std::uint64_t offered() const
    {
        std::uint64_t all = 0;
        for (const auto& it : m_backends)
            all += it->offered();
        return all;
    }

    /// \returns the sum of the speeds of all upstreams, with their slow moments taken off.
    double speedOfAll() const
    {
        double sum = 0;
        for (std::size_t i = 0; i < m_case.upstreams; ++i)
            sum += m_case.speedOf(i);
        return sum * m_case.slowMoments.meanSpeed();
    }

    void drawSlowUpstreams()
    {
        std::bernoulli_distribution isSlow { m_case.slowMoments.share };
        for (auto& it : m_backends)
            it->setSlowdown(isSlow(m_random) ? m_case.slowMoments.factor : 1);
        m_queue.after(m_case.slowMoments.every, [this] { drawSlowUpstreams(); });
    }

    void arrive()
    {
        const std::chrono::duration<double> service = m_case.backend.meanService;
        const double capacity = speedOfAll() * static_cast<double>(m_case.backend.slots) / service.count();
        ++m_counts.calls;
        startCall();
        const std::chrono::duration<double> gap(
            std::exponential_distribution<double> { capacity * m_case.load }(m_random));
        m_queue.after(std::chrono::duration_cast<MonotonicClock::duration>(gap), [this] { arrive(); });
    }

    OverloadCase m_case;
    EventQueue m_queue;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<BackendModel>> m_backends;
    OverloadCounts m_counts;
};

}
