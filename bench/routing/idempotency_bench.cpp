// What an idempotency key costs: appends to the log and time added to a call, in virtual time.
#include "EventQueue.h"
#include "Report.h"

#include "carobpath/routing/IdempotencyLedger.h"

#include <algorithm>
#include <map>
#include <random>

namespace carobpath::bench {

namespace {

    using namespace std::chrono_literals;
    using namespace routing;

    constexpr auto logLatency = 5ms;
    constexpr auto callTime = 20ms;
    constexpr auto measuredTime = 30s;

    /// One owner of all partitions with a log that takes a fixed time for each answer.
    class LedgerRun {
    public:
        explicit LedgerRun(double callsPerSecond)
            : m_rate(callsPerSecond)
        {
        }

        Report::Row run()
        {
            arrive();
            m_queue.runUntil(m_queue.now() + measuredTime);
            const double seconds = std::chrono::duration<double>(measuredTime).count();
            return { { "calls/s", m_rate }, { "appends/s", static_cast<double>(m_appends) / seconds },
                { "appends/call", static_cast<double>(m_appends) / static_cast<double>(m_calls) },
                { "bytes/call", static_cast<double>(m_bytes) / static_cast<double>(m_calls) },
                { "wait p50 ms", quantile(m_waits, 0.5) }, { "wait p99 ms", quantile(m_waits, 0.99) },
                { "granted", static_cast<double>(m_waits.size()) / static_cast<double>(m_calls) } };
        }

    private:
        void arrive()
        {
            const auto id = "n1/1/" + std::to_string(++m_calls);
            const IntentClaim claim { intentKeyOf(RouteName { "book" }, IdempotencyKey { id }), RequestId { id },
                m_queue.now() + 5s };
            m_claims[claim.request] = { claim.key, m_queue.now() };
            take(m_ledger.onClaim(claim, m_queue.now()));
            const double gap = std::exponential_distribution<double> { m_rate }(m_random);
            m_queue.after(
                std::chrono::duration_cast<MonotonicClock::duration>(std::chrono::duration<double>(gap)), [this] { arrive(); });
        }

        void take(const LedgerCommands& commands)
        {
            for (const auto& it : commands)
                std::visit([this](const auto& command) { perform(command); }, it);
            if (const auto due = m_ledger.nextTick(); due && *due != m_tickAt) {
                m_tickAt = *due;
                m_queue.at(*due, [this] { take(m_ledger.onTick(m_queue.now())); });
            }
        }

        void perform(const AppendIntents& it)
        {
            ++m_appends;
            m_bytes += it.bytes.size();
            m_queue.after(logLatency, [this, it] {
                auto& stream = m_streams[it.partition];
                stream.push_back({ stream.size(), it.bytes });
                take(m_ledger.onAppended(it.partition, it.batch, stream.size() - 1, m_queue.now()));
            });
        }

        void perform(const ReadIntents& it)
        {
            m_queue.after(logLatency, [this, it] {
                const auto& stream = m_streams[it.partition];
                IntentPage page { 0, stream.size(), {} };
                page.records.assign(stream.begin() + static_cast<std::ptrdiff_t>(it.from), stream.end());
                take(m_ledger.onRead(it.partition, page, m_queue.now()));
            });
        }

        void perform(const AnswerClaim& it)
        {
            if (it.result.answer != ClaimStatus::Granted)
                return;
            const auto [key, askedAt] = m_claims[it.request];
            const std::chrono::duration<double, std::milli> wait = m_queue.now() - askedAt;
            m_waits.push_back(wait.count());
            m_queue.after(callTime, [this, request = it.request, key = key] {
                take(m_ledger.onCallEnded({ key, request, Outcome::Ran }, m_queue.now()));
            });
        }

        double m_rate;
        EventQueue m_queue;
        std::mt19937_64 m_random { 1 };
        IdempotencyLedger m_ledger { NodeName { "n1" }, Incarnation { 1 } };
        std::map<Partition, std::vector<IntentLogRecord>> m_streams;
        std::map<RequestId, std::pair<IntentKey, MonotonicTime>> m_claims;
        std::vector<double> m_waits;
        MonotonicTime m_tickAt {};
        std::uint64_t m_calls = 0;
        std::uint64_t m_appends = 0;
        std::uint64_t m_bytes = 0;
    };

}

}

int main(int argc, char** argv)
{
    using namespace carobpath::bench;
    return runBench(argc, argv, [] {
        Report report("idempotency keys: appends and added time, log answers in 5 ms");
        for (const double rate : { 1.0, 10.0, 50.0, 200.0, 500.0, 1000.0, 2000.0 })
            report.add(LedgerRun(rate).run());
        return report;
    });
}
