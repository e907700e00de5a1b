#include "moves/Experiment.h"

#include "carobpath/moves/MoveAssessor.h"
#include "moves/FixedStep.h"
#include "moves/Fleet.h"
#include "moves/VersionModel.h"

#include <array>
#include <vector>

namespace carobpath::bench {

namespace {

    using namespace std::chrono_literals;

    constexpr milliseconds stepLength { 100 };
    constexpr milliseconds leadTime { 5000 };
    constexpr milliseconds longestTail { 60000 };
    /// A call may stay this many steps.
    constexpr std::size_t pendingSteps = 128;

    struct Pending {
        Pick pick = Pick::Old;
        std::size_t node = 0;
        std::size_t route = 0;
        DrawnCall call;
    };

    moves::EvidenceCounts countsOf(const DrawnCall& call, bool isTimed)
    {
        moves::EvidenceCounts it;
        if (call.result == moves::CallResult::Failed) {
            it.failed = 1;
            return it;
        }
        it.succeeded = 1;
        it.latency.at(moves::latencyClassOf(call.latency)) = isTimed ? 1 : 0;
        return it;
    }

    template <MovePolicy Policy>
    class Run {
    public:
        Run(const Scenario& scenario, std::uint64_t seed)
            : m_scenario(scenario)
            , m_random(seed)
            , m_versions(scenario, m_random)
            , m_log(scenario.logOutage, m_random)
            , m_policy(scenario, m_random)
            , m_reference(Fleet::moveOf(scenario))
            , m_pending(pendingSteps)
        {
            for (const auto& route : scenario.service.routes)
                m_totalRate += route.callsPerSecond;
        }

        RunResult play();

    private:
        void issueCalls(milliseconds now);
        void issueCall(std::size_t route, milliseconds now);
        void completeCalls(milliseconds now);
        void watch(milliseconds now);
        std::size_t upNode(std::size_t preferred, std::size_t first, std::size_t count, milliseconds now) const;

        const Scenario& m_scenario;
        std::mt19937_64 m_random;
        VersionModel m_versions;
        LogModel m_log;
        Policy m_policy;
        moves::MoveAssessor m_reference;
        std::vector<std::vector<Pending>> m_pending;
        std::size_t m_slot = 0;
        double m_totalRate = 0;
        double m_meanShare = 0;
        std::optional<milliseconds> m_shownAt;
        milliseconds m_lastNewCall {};
        RunResult m_result;
    };

    template <MovePolicy Policy>
    std::size_t Run<Policy>::upNode(std::size_t preferred, std::size_t first, std::size_t count, milliseconds now) const
    {
        for (std::size_t i = 0; i < count; ++i) {
            const auto node = first + (preferred + i) % count;
            if (m_policy.isUp(node, now))
                return node;
        }
        return first + preferred % count;
    }

    template <MovePolicy Policy>
    void Run<Policy>::issueCall(std::size_t route, milliseconds now)
    {
        std::uniform_real_distribution<double> part;
        const auto entry = upNode(m_random() % nodeCount, 0, nodeCount, now);
        const auto pick = m_policy.pick(entry, part(m_random), now);
        const auto upstream = m_random() % m_scenario.service.upstreams;
        const auto first = pick == Pick::Old ? 0 : nodesPerVersion;
        const auto node = upNode(upstream % nodesPerVersion, first, nodesPerVersion, now);
        const auto call = m_versions.draw(pick == Pick::New, route, node - first, now, m_meanShare);
        ++m_result.calls;
        if (pick == Pick::New) {
            ++m_result.newCalls;
            m_lastNewCall = now;
        }
        m_result.harmed += call.isHarmed ? 1 : 0;
        const auto steps = std::min<std::size_t>(pendingSteps - 1, static_cast<std::size_t>(call.latency / stepLength));
        m_pending[(m_slot + steps) % pendingSteps].push_back({ pick, node, route, call });
    }

    template <MovePolicy Policy>
    void Run<Policy>::issueCalls(milliseconds now)
    {
        const auto seconds = std::chrono::duration<double>(stepLength).count();
        for (std::size_t route = 0; route < m_scenario.service.routes.size(); ++route) {
            std::poisson_distribution<int> arrivals { m_scenario.service.routes[route].callsPerSecond * seconds };
            for (auto n = arrivals(m_random); n > 0; --n)
                issueCall(route, now);
        }
    }

    template <MovePolicy Policy>
    void Run<Policy>::completeCalls(milliseconds now)
    {
        for (const auto& it : m_pending[m_slot]) {
            if (m_policy.isUp(it.node, now))
                m_policy.observe(it.node, it.pick, it.route, it.call, now);
            if (m_scenario.isGood || m_shownAt || now < 0ms || it.pick == Pick::Earlier)
                continue;
            const auto window = m_reference.plan().windowAt(Fleet::clocks(now).wall);
            const bool isTimed = it.pick == Pick::Old || window >= m_reference.plan().warmUpWindows();
            m_reference.add({ {}, m_scenario.service.routes[it.route].name, Fleet::versionOf(it.pick), moves::MovePlan::evidenceWindow(window, false), countsOf(it.call, isTimed), {} });
        }
        m_pending[m_slot].clear();
        m_slot = (m_slot + 1) % pendingSteps;
    }

    template <MovePolicy Policy>
    void Run<Policy>::watch(milliseconds now)
    {
        double sum = 0;
        for (std::size_t i = 0; i < nodeCount; ++i)
            sum += m_policy.newShare(i, now);
        m_meanShare = sum / nodeCount;
        if (m_scenario.isGood || now < m_scenario.badness.onset)
            return;
        m_result.largestBadShare = std::max(m_result.largestBadShare, m_meanShare);
        if (!m_shownAt && m_reference.assess(Fleet::clocks(now).wall).regression)
            m_shownAt = now;
    }

    template <MovePolicy Policy>
    RunResult Run<Policy>::play()
    {
        const auto start = -m_scenario.earlierMove - leadTime;
        auto now = start;
        for (; now < m_scenario.length + longestTail; now += stepLength) {
            m_policy.step(now, m_log);
            watch(now);
            issueCalls(now);
            completeCalls(now);
            if (m_policy.isSettled(now) && now >= 0ms && (m_log.hasRecord(now) || m_scenario.withdrawnAt))
                break;
        }
        m_result.isGood = m_scenario.isGood;
        m_result.isWithdrawn = m_scenario.withdrawnAt && !m_log.hasRecord(*m_scenario.withdrawnAt);
        if (m_log.hasRecord(now)) {
            m_result.outcome = m_log.verdict().outcome;
            m_result.reason = m_log.verdict().reason;
            m_result.isInTime = *m_log.recordedAt() <= m_scenario.length;
        }
        if (m_shownAt && m_result.outcome != publication::MoveOutcome::Done)
            m_result.stopDelay = std::max(0ms, m_lastNewCall - *m_shownAt);
        if (const auto found = m_policy.foundAt(); found && !m_scenario.isGood && m_result.outcome != publication::MoveOutcome::Done)
            m_result.foundDelay = std::max(0ms, m_lastNewCall - *found);
        m_result.controlBytes = m_policy.controlBytes();
        m_result.appends = m_log.appends();
        m_result.length = now - start;
        return m_result;
    }

}

RunResult runMove(const Scenario& scenario, PolicyKind kind, std::uint64_t seed)
{
    if (kind == PolicyKind::Ours)
        return Run<Fleet>(scenario, seed).play();
    return Run<FixedStep>(scenario, seed).play();
}

}
