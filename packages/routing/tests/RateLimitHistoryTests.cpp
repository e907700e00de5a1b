#include "AdmissionFixture.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <deque>
#include <random>

namespace carobpath::routing::tests {

namespace {

    using Seconds = std::chrono::duration<double>;

    constexpr std::uint64_t firstSeed = 20261204;
    constexpr int histories = 150;
    constexpr auto historyTime = 30s;
    constexpr auto step = 10ms;
    /// The bound on the calls of any window: a factor on what the limit allows, and a slack.
    constexpr auto window = 4s;
    constexpr double limitFactor = 1.5;
    constexpr double limitSlack = 5;
    constexpr auto bindsAfter = 3s;
    /// A changed limit is known after the answers that were under way, which are half a second late at most.
    constexpr auto changeGrace = 1s;

    enum class Reports {
        Heard,
        Ignored,
    };

    /// One node beside one backend server that names, changes and lifts limits, under a load beyond them; the node restarts and
    /// the announcements lapse at times.
    class LimitHistory {
    public:
        LimitHistory(std::uint64_t seed, Reports reports)
            : m_random(seed)
            , m_reports(reports)
            , m_serviceTime(drawMilliseconds(20, 400))
            , m_interval(drawMilliseconds(10, 60))
        {
            restart();
        }

        /// \returns whether every window got no more calls than the limits allow.
        bool holds()
        {
            for (const auto end = m_now + historyTime; m_now < end; m_now += step)
                advance();
            return std::all_of(m_sentAt.begin(), m_sentAt.end(), [this](MonotonicTime it) { return windowHolds(it); });
        }

    private:
        struct Running {
            RequestId id;
            MonotonicTime sentAt;
            membership::BackendRun run;
        };

        std::chrono::milliseconds drawMilliseconds(int least, int most)
        {
            return std::chrono::milliseconds { std::uniform_int_distribution<int> { least, most }(m_random) };
        }
        bool happens(double perSecond) { return std::bernoulli_distribution { perSecond * Seconds { step }.count() }(m_random); }

        void advance()
        {
            if (happens(0.15))
                changeLimit();
            if (happens(0.05))
                restart();
            if (happens(0.05))
                lapse();
            m_limits.push_back(m_limit);
            endCalls();
            if (m_now >= m_nextCall)
                sendCall();
            carryOut(m_controller->onTick(m_now));
        }

        void changeLimit()
        {
            const bool isLifted = std::bernoulli_distribution { 0.25 }(m_random);
            const double rate = std::exp(std::uniform_real_distribution<double> { -3, 4 }(m_random));
            m_limit = isLifted ? std::nullopt : std::optional { rate };
        }

        /// The node loses its memory and its calls; entry nodes still know the limit that was spread last.
        void restart()
        {
            if (m_controller)
                m_known = m_controller->reported().callsPerSecond();
            AdmissionPolicy policy;
            policy.order.byObjective = true;
            m_controller.emplace(policy);
            m_running.clear();
            m_controller->setUpstream(makeUpstream(), m_now, m_run);
        }

        void lapse()
        {
            carryOut(m_controller->setUpstream(std::nullopt, m_now));
            carryOut(m_controller->setUpstream(makeUpstream(), m_now, m_run));
        }

        void sendCall()
        {
            m_nextCall = m_now + m_interval;
            AdmissionRequest it;
            it.id = RequestId { "c" + std::to_string(++m_calls) };
            it.service = ServiceName { "booking" };
            it.version = VersionName { "v1" };
            it.deadline = m_now + 2s;
            it.objective = m_now + 600ms;
            it.repeatability = publication::Repeatability::Repeatable;
            it.knownCallsPerSecond = m_reports == Reports::Heard ? m_known : std::nullopt;
            carryOut(m_controller->onArrival(it, m_now));
        }

        void carryOut(const AdmissionCommands& commands)
        {
            for (const auto& command : commands) {
                if (const auto* it = std::get_if<Dispatch>(&command)) {
                    m_running.push_back({ it->id, m_now, m_run });
                    m_sentAt.push_back(m_now);
                }
            }
        }

        void endCalls()
        {
            while (!m_running.empty() && m_running.front().sentAt + m_serviceTime <= m_now) {
                const auto it = m_running.front();
                m_running.pop_front();
                report(it);
                carryOut(m_controller->onFinished({ it.id, BackendResult::Answered, m_serviceTime }, m_now));
            }
        }

        void report(const Running& it)
        {
            if (m_reports == Reports::Ignored)
                return;
            // Some answers name the limit in a way that cannot be read.
            const bool isUnreadable = m_limit && std::bernoulli_distribution { 0.1 }(m_random);
            const BackendReport report { isUnreadable ? std::nullopt : m_limit, isUnreadable, false };
            if (const auto commands = m_controller->onReport(it.run, report, ReportSource::Run, it.sentAt, m_now))
                carryOut(*commands);
            m_known = m_controller->reported().callsPerSecond();
        }

        std::size_t stepOf(MonotonicTime time) const { return static_cast<std::size_t>((time - m_start) / step); }

        bool windowHolds(MonotonicTime from) const
        {
            double allowed = limitSlack;
            for (auto time = from; time < from + window; time += step) {
                const auto rate = boundAt(time);
                if (!rate)
                    return true;
                allowed += limitFactor * *rate * Seconds { step }.count();
            }
            const auto n = std::count_if(m_sentAt.begin(), m_sentAt.end(), [&](MonotonicTime it) { return it >= from && it < from + window; });
            return static_cast<double>(n) <= allowed;
        }

        /// \returns the highest limit named within the grace before; empty where none binds yet, or at the end of the history.
        std::optional<double> boundAt(MonotonicTime time) const
        {
            double highest = 0;
            for (auto it = time - bindsAfter - changeGrace; it <= time; it += step) {
                if (it < m_start || stepOf(it) >= m_limits.size() || !m_limits[stepOf(it)])
                    return std::nullopt;
                if (it >= time - changeGrace)
                    highest = std::max(highest, *m_limits[stepOf(it)]);
            }
            return highest;
        }

        std::mt19937_64 m_random;
        Reports m_reports;
        std::chrono::milliseconds m_serviceTime;
        std::chrono::milliseconds m_interval;
        MonotonicTime m_start { 1000s };
        MonotonicTime m_now = m_start;
        MonotonicTime m_nextCall = m_start;
        std::optional<AdmissionController> m_controller;
        membership::BackendRun m_run { "i-1", WallTime { 5000ms } };
        std::optional<double> m_limit;
        std::optional<double> m_known;
        /// The limit that the server named, at each step.
        std::vector<std::optional<double>> m_limits;
        std::deque<Running> m_running;
        std::vector<MonotonicTime> m_sentAt;
        int m_calls = 0;
    };

    /// \returns the seeds of the histories in which a window got too many calls.
    std::vector<std::uint64_t> violations(Reports reports)
    {
        std::vector<std::uint64_t> seeds;
        for (int i = 0; i < histories; ++i) {
            if (!LimitHistory { firstSeed + static_cast<std::uint64_t>(i), reports }.holds())
                seeds.push_back(firstSeed + static_cast<std::uint64_t>(i));
        }
        return seeds;
    }

}

BOOST_AUTO_TEST_SUITE(Rate_limit_histories)

BOOST_AUTO_TEST_CASE(No_history_of_limits_restarts_and_lapses_sends_more_calls_than_the_limits_allow)
{
    for (const auto seed : violations(Reports::Heard))
        BOOST_ERROR("too many calls with seed " << seed);
}

BOOST_AUTO_TEST_CASE(Without_the_reports_some_history_sends_more_calls_than_the_limits_allow)
{
    BOOST_TEST(!violations(Reports::Ignored).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}
