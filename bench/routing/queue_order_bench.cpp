// Order of the admission queue on a mix of short calls and downloads: first come, by class, and thin first.
#include "EventQueue.h"
#include "Report.h"

#include "carobpath/routing/AdmissionController.h"

#include <array>
#include <map>
#include <memory>
#include <numeric>
#include <random>

namespace carobpath::bench {

namespace {

    using namespace std::chrono_literals;
    using namespace routing;

    /// One upstream under a mix of short calls and of downloads in parallel parts.
    struct MixCase {
        const char* name = "";
        std::uint32_t slots = 6;
        std::uint32_t connections = 130;
        double load = 0.9;
    };

    struct PolicyCase {
        const char* name = "";
        AdmissionPolicy policy;
    };

    constexpr std::chrono::duration<double> shortService { 0.020 };
    constexpr std::chrono::duration<double> partService { 0.200 };
    constexpr auto shortTimeout = 2s;
    constexpr auto downloadTimeout = 30s;
    constexpr auto warmUp = 20s;
    constexpr auto measuredTime = 300s;
    /// Part of the work that short calls make up; every fifth of them may not be repeated.
    constexpr double shortWork = 0.3;
    constexpr std::array<std::uint32_t, 4> widths { 1, 2, 4, 8 };
    constexpr double meanWidth = 3.75;
    constexpr std::uint64_t seeds = 5;

    enum class Kind : std::uint8_t { Booking,
        Short,
        Thin,
        Wide };
    constexpr std::size_t kinds = 4;

    struct KindCounts {
        std::uint64_t calls = 0;
        std::uint64_t refused = 0;
        std::vector<double> milliseconds;
    };

    using MixCounts = std::array<KindCounts, kinds>;

    void add(MixCounts& sum, const MixCounts& run)
    {
        for (std::size_t i = 0; i < kinds; ++i) {
            sum[i].calls += run[i].calls;
            sum[i].refused += run[i].refused;
            sum[i].milliseconds.insert(
                sum[i].milliseconds.end(), run[i].milliseconds.begin(), run[i].milliseconds.end());
        }
    }

    double meanOf(const std::vector<double>& samples)
    {
        const double sum = std::accumulate(samples.begin(), samples.end(), 0.0);
        return samples.empty() ? 0 : sum / static_cast<double>(samples.size());
    }

    Report::Row makeRow(const MixCase& it, const PolicyCase& policy, const MixCounts& counts)
    {
        const char* names[] { "booking", "short", "thin", "wide" };
        Report::Row row { { "sizes", it.name }, { "load", it.load }, { "order", policy.name } };
        for (std::size_t i = 0; i < kinds; ++i) {
            const std::string name = names[i];
            const auto calls = static_cast<double>(std::max<std::uint64_t>(counts[i].calls, 1));
            row.emplace_back(name + " mean", meanOf(counts[i].milliseconds));
            row.emplace_back(name + " p99", quantile(counts[i].milliseconds, 0.99));
            row.emplace_back(name + " refused", static_cast<double>(counts[i].refused) / calls);
        }
        return row;
    }

    class MixRun {
    public:
        MixRun(const MixCase& it, const PolicyCase& policy, std::uint64_t seed)
            : m_case(it)
            , m_random(seed)
            , m_admission(policy.policy)
        {
            membership::Upstream upstream;
            upstream.version = VersionName { "v1" };
            upstream.slots = it.slots;
            upstream.connections = it.connections;
            upstream.state = membership::UpstreamState::Ready;
            m_admission.setUpstream(upstream, m_queue.now());
        }

        MixCounts run()
        {
            const double work = m_case.load * m_case.slots;
            arrive(work * shortWork / shortService.count(), [this] { startShort(); });
            arrive(work * (1 - shortWork) / (partService.count() * meanWidth), [this] { startDownload(); });
            m_queue.runUntil(m_queue.now() + warmUp);
            m_counts = {};
            m_queue.runUntil(m_queue.now() + measuredTime);
            return std::move(m_counts);
        }

    private:
        /// All parts of one caller's work.
        struct Work {
            Kind kind = Kind::Short;
            MonotonicTime since;
            std::uint32_t left = 1;
            bool failed = false;
            std::vector<RequestId> parts;
        };
        using WorkPointer = std::shared_ptr<Work>;
        using Seconds = std::chrono::duration<double>;

        void arrive(double rate, const std::function<void()>& start)
        {
            const Seconds gap(std::exponential_distribution<double> { rate }(m_random));
            m_queue.after(std::chrono::duration_cast<MonotonicClock::duration>(gap), [this, rate, start] {
                start();
                arrive(rate, start);
            });
        }

        void startShort()
        {
            const bool booking = m_random() % 5 == 0;
            AdmissionRequest request;
            request.repeatability
                = booking ? publication::Repeatability::NotRepeatable : publication::Repeatability::Repeatable;
            request.deadline = m_queue.now() + shortTimeout;
            start(booking ? Kind::Booking : Kind::Short, request);
        }

        void startDownload()
        {
            AdmissionRequest request;
            request.repeatability = publication::Repeatability::Repeatable;
            request.trafficClass = publication::TrafficClass::Download;
            request.width = widths[m_random() % widths.size()];
            request.deadline = m_queue.now() + downloadTimeout;
            start(request.width <= 2 ? Kind::Thin : Kind::Wide, request);
        }

        void start(Kind kind, AdmissionRequest request)
        {
            auto work = std::make_shared<Work>();
            work->kind = kind;
            work->since = m_queue.now();
            work->left = request.width;
            ++countsOf(kind).calls;
            request.version = VersionName { "v1" };
            for (std::uint32_t i = 0; i < request.width && !work->failed; ++i) {
                request.id = RequestId { std::to_string(++m_requests) };
                work->parts.push_back(request.id);
                m_works[request.id] = work;
                take(m_admission.onArrival(request, m_queue.now()));
            }
        }

        void take(const AdmissionCommands& commands)
        {
            for (const auto& it : commands) {
                if (const auto* dispatch = std::get_if<Dispatch>(&it))
                    serve(dispatch->id);
                else
                    fail(std::get<Reject>(it).id);
            }
        }

        void serve(const RequestId& id)
        {
            const auto found = m_works.find(id);
            const auto kind = found == m_works.end() ? Kind::Short : found->second->kind;
            const auto mean = kind == Kind::Thin || kind == Kind::Wide ? partService : shortService;
            const Seconds time(std::exponential_distribution<double> { 1 / mean.count() }(m_random));
            const auto service = std::chrono::duration_cast<MonotonicClock::duration>(time);
            m_queue.after(service, [this, id, service] {
                endPart(id);
                take(m_admission.onFinished({ id, BackendResult::Answered, service }, m_queue.now()));
            });
        }

        void endPart(const RequestId& id)
        {
            const auto it = m_works.find(id);
            if (it == m_works.end())
                return;
            const auto work = it->second;
            m_works.erase(it);
            if (--work->left > 0 || work->failed)
                return;
            const std::chrono::duration<double, std::milli> time = m_queue.now() - work->since;
            countsOf(work->kind).milliseconds.push_back(time.count());
        }

        /// One part refused ends the whole work; parts that wait are withdrawn.
        void fail(const RequestId& id)
        {
            const auto it = m_works.find(id);
            if (it == m_works.end())
                return;
            const auto work = it->second;
            m_works.erase(it);
            if (work->failed)
                return;
            work->failed = true;
            ++countsOf(work->kind).refused;
            for (const auto& part : work->parts)
                m_queue.after({}, [this, part] { take(m_admission.onCancelled(part, m_queue.now())); });
        }

        KindCounts& countsOf(Kind it) { return m_counts[static_cast<std::size_t>(it)]; }

        MixCase m_case;
        EventQueue m_queue;
        std::mt19937_64 m_random;
        AdmissionController m_admission;
        std::map<RequestId, WorkPointer> m_works;
        MixCounts m_counts;
        std::uint64_t m_requests = 0;
    };

    AdmissionPolicy makePolicy(bool byClass, bool narrowFirst, double reservedFraction, std::chrono::milliseconds cap)
    {
        AdmissionPolicy it;
        it.order.byClass = byClass;
        it.order.narrowFirst = narrowFirst;
        it.order.maxBypassTime = cap;
        it.reservedFraction = reservedFraction;
        return it;
    }

    std::vector<PolicyCase> policies()
    {
        return {
            { "one line", makePolicy(false, false, 0, 5000ms) },
            { "one line thin", makePolicy(false, true, 0, 5000ms) },
            { "class", makePolicy(true, false, 0, 5000ms) },
            { "class thin", makePolicy(true, true, 0, 5000ms) },
            { "res 1/6", makePolicy(true, false, 1.0 / 6, 5000ms) },
            { "res 1/6 thin", makePolicy(true, true, 1.0 / 6, 5000ms) },
            { "res 1/3", makePolicy(true, false, 1.0 / 3, 5000ms) },
            { "res 1/3 thin", makePolicy(true, true, 1.0 / 3, 5000ms) },
            { "res 1/6 thin 2s", makePolicy(true, true, 1.0 / 6, 2000ms) },
        };
    }

    Report run()
    {
        Report report("order of the admission queue; ms until whole; downloads of 1, 2, 4 or 8 parts of 200 ms; 5 seeds");
        for (auto it : { MixCase { "petra", 6, 130, 0 }, MixCase { "akwapim", 9, 110, 0 } }) {
            for (const double load : { 0.7, 0.9, 1.2 }) {
                it.load = load;
                for (const auto& policy : policies()) {
                    MixCounts counts;
                    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
                        add(counts, MixRun(it, policy, seed).run());
                    report.add(makeRow(it, policy, counts));
                }
            }
        }
        return report;
    }

}

}

int main(int argc, char** argv) { return carobpath::bench::runBench(argc, argv, carobpath::bench::run); }
