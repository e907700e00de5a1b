// Measures how configuration, membership and evidence spread: decision objects of 100, 300 and 1,000 nodes over an
// in-memory exchange under a virtual clock. Bytes are those of the real encoding.
// Usage: carobpath-bench-distribution [--json] [--sizes N,N,...] [--seed N] [--cut-minutes N] [--changes N]
#include "Fleet.h"

#include "internal/Conversions.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <capnp/message.h>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <sstream>

namespace carobpath::distribution {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

    constexpr std::size_t domains = 6;
    constexpr std::size_t services = 27;
    constexpr std::size_t routesPerService = 4;
    /// A call or a return of Cap'n Proto RPC around the message, its acknowledgement, and the headers of TCP and IP.
    constexpr std::size_t callOverhead = 260;
    constexpr seconds restTime { 60 };
    constexpr int changesWhileCut = 20;
    /// 3,200 changes a day.
    constexpr milliseconds changeInterval { 27000 };
    constexpr milliseconds budget { 5000 };

    struct Figures {
        std::size_t nodes = 0;
        std::size_t readers = 0;
        double logReadsPerSecond = 0;
        double restBytes = 0;
        double busiestRestBytes = 0;
        double restCpuMicroseconds = 0;
        double changeBytes = 0;
        milliseconds convergenceMedian {};
        milliseconds convergenceLongest {};
        milliseconds startTime {};
        milliseconds halfRecovery {};
        double halfLogReadsPerSecond = 0;
        double halfBytes = 0;
        double halfWholesServed = 0;
        milliseconds cutConfiguration { -1 };
        milliseconds cutMembership { -1 };
        milliseconds evidenceMedianAge {};
        milliseconds evidenceTailAge {};
        double evidenceBytes = 0;
        milliseconds noticeTime {};
        std::size_t violations = 0;
        double wallSeconds = 0;
    };

    template <typename Schema, typename Message>
    std::size_t encodedBytes(const Message& message)
    {
        capnp::MallocMessageBuilder builder;
        peer::write(message, builder.initRoot<Schema>());
        return builder.sizeInWords() * sizeof(capnp::word) + callOverhead;
    }

    milliseconds orLimit(const std::optional<milliseconds>& time)
    {
        return time.value_or(milliseconds { -1 });
    }

    struct Settings {
        std::uint64_t seed = 1;
        int changes = 10;
        /// Length of the cut; 0 leaves the part out.
        minutes cutTime { 60 };
    };

    /// Measures one fleet, one part after the other.
    class Measurement {
    public:
        Measurement(std::size_t nodes, const Settings& settings)
            : m_fleet(options(nodes, settings.seed))
            , m_settings(settings)
        {
            m_figures.nodes = nodes;
        }

        Figures run()
        {
            const auto begin = MonotonicClock::now();
            part("start", &Measurement::measureStart);
            part("rest", &Measurement::measureRest);
            part("changes", &Measurement::measureChanges);
            part("evidence", &Measurement::measureEvidence);
            part("notice", &Measurement::measureNotice);
            part("half", &Measurement::measureHalf);
            if (m_settings.cutTime > minutes { 0 })
                part("cut", &Measurement::measureCut);
            m_figures.violations = m_fleet.violations().size();
            m_figures.wallSeconds = std::chrono::duration<double>(MonotonicClock::now() - begin).count();
            return m_figures;
        }

    private:
        static FleetOptions options(std::size_t nodes, std::uint64_t seed)
        {
            FleetOptions it;
            it.nodes = nodes;
            it.domains = domains;
            it.seed = seed;
            it.services = services;
            it.routesPerService = routesPerService;
            it.sizeOf = encodedBytes<peer::schema::PeerMessage, PeerMessage>;
            it.sizeOfSnapshot = encodedBytes<peer::schema::WholeState, StateSnapshot>;
            it.measureCpu = true;
            return it;
        }

        /// Runs one part and says on the error stream how long it took.
        void part(const char* name, void (Measurement::*measure)())
        {
            const auto begin = MonotonicClock::now();
            const auto virtualBegin = m_fleet.now();
            (this->*measure)();
            const std::chrono::duration<double> wall = MonotonicClock::now() - begin;
            const std::chrono::duration<double> simulated = m_fleet.now() - virtualBegin;
            std::fprintf(stderr, "%zu nodes, %s: %.0f s of virtual time in %.1f s\n", m_fleet.size(), name, simulated.count(), wall.count());
        }

        double perNodeSecond(std::uint64_t bytes, std::chrono::duration<double> time) const
        {
            // Each byte is sent by one node and received by another.
            return 2 * static_cast<double>(bytes) / static_cast<double>(m_fleet.size()) / time.count();
        }

        void measureStart()
        {
            m_fleet.publish();
            m_fleet.startAll();
            m_figures.startTime = orLimit(m_fleet.runUntil([&] { return m_fleet.allServe(0) && m_fleet.allKnow(m_fleet.size()); }, minutes { 3 }));
            m_fleet.run(seconds { 30 });
            m_figures.readers = m_fleet.readers();
        }

        void measureRest()
        {
            std::vector<std::uint64_t> before;
            for (std::size_t i = 0; i < m_fleet.size(); ++i)
                before.push_back(m_fleet.bytesSent(i));
            const auto bytes = m_fleet.bytesSent();
            const auto reads = m_fleet.logReads();
            const auto cpu = m_fleet.cpu();
            m_fleet.run(restTime);
            std::uint64_t busiest = 0;
            for (std::size_t i = 0; i < m_fleet.size(); ++i)
                busiest = std::max(busiest, m_fleet.bytesSent(i) - before[i]);
            m_figures.restBytes = perNodeSecond(m_fleet.bytesSent() - bytes, restTime);
            m_figures.busiestRestBytes = 2 * static_cast<double>(busiest) / static_cast<double>(restTime.count());
            m_figures.logReadsPerSecond = static_cast<double>(m_fleet.logReads() - reads) / static_cast<double>(restTime.count());
            const std::chrono::duration<double, std::micro> spent = m_fleet.cpu() - cpu;
            m_figures.restCpuMicroseconds = spent.count() / static_cast<double>(m_fleet.size()) / static_cast<double>(restTime.count());
        }

        void measureChanges()
        {
            std::vector<milliseconds> times;
            const auto bytes = m_fleet.bytesSent();
            const auto begin = m_fleet.now();
            for (int i = 0; i < m_settings.changes; ++i) {
                const auto next = m_fleet.now() + changeInterval;
                const auto offset = m_fleet.publish();
                times.push_back(orLimit(m_fleet.runUntil([&] { return m_fleet.allServe(offset); }, minutes { 1 })));
                m_fleet.run(std::chrono::duration_cast<milliseconds>(next - m_fleet.now()));
            }
            m_figures.changeBytes = perNodeSecond(m_fleet.bytesSent() - bytes, m_fleet.now() - begin);
            std::sort(times.begin(), times.end());
            m_figures.convergenceMedian = times[times.size() / 2];
            m_figures.convergenceLongest = times.back();
        }

        /// One move: the nodes of one service in 27 make evidence on each route, of the old and the new version.
        void measureEvidence()
        {
            const std::size_t observers = std::max<std::size_t>(2, m_fleet.size() / services);
            constexpr std::uint64_t rounds = 40;
            const auto bytes = m_fleet.bytesSent();
            const auto begin = m_fleet.now();
            for (std::uint64_t round = 1; round <= rounds; ++round) {
                for (std::size_t i = 0; i < observers; ++i)
                    addEvidence(i, round);
                m_fleet.run(seconds { 1 });
            }
            m_figures.evidenceBytes = perNodeSecond(m_fleet.bytesSent() - bytes, m_fleet.now() - begin);
            std::vector<std::uint64_t> ages;
            for (std::size_t i = 0; i < m_fleet.size(); ++i) {
                for (std::size_t observer = 0; observer < observers; ++observer)
                    ages.push_back(rounds - m_fleet.evidence(i).sequenceOf({ nameOf(observer).value(), "route-0/booking-2" }));
            }
            std::sort(ages.begin(), ages.end());
            m_figures.evidenceMedianAge = seconds { ages[ages.size() / 2] };
            m_figures.evidenceTailAge = seconds { ages[ages.size() * 95 / 100] };
            m_fleet.run(seconds { 60 });
        }

        static NodeName nameOf(std::size_t node) { return NodeName { "booking-" + std::to_string(node) }; }

        void addEvidence(std::size_t observer, std::uint64_t round)
        {
            for (std::size_t route = 0; route < routesPerService; ++route) {
                for (const char* version : { "booking-1", "booking-2" }) {
                    moves::EvidenceEntry entry;
                    entry.observer = nameOf(observer);
                    entry.revision = { Incarnation { 1 }, round };
                    entry.move = MoveName { "booking-to-2" };
                    entry.route = RouteName { "route-" + std::to_string(route) };
                    entry.version = VersionName { version };
                    entry.counts.succeeded = 40 * round;
                    for (std::size_t i = 0; i < 5; ++i)
                        entry.counts.latency[i + 1] = 8 * round;
                    m_fleet.evidence(observer).add(entry);
                }
            }
        }

        void measureNotice()
        {
            moves::TakeBackNotice notice;
            notice.move = MoveName { "booking-to-2" };
            notice.observer = nameOf(1);
            m_fleet.evidence(1).addNotice(notice);
            m_fleet.execute(1, m_fleet.engine(1).onEvidenceChanged(m_fleet.now()));
            const auto everywhere = [&] {
                for (std::size_t i = 0; i < m_fleet.size(); ++i) {
                    if (!m_fleet.evidence(i).hasNotice(notice.move))
                        return false;
                }
                return true;
            };
            m_figures.noticeTime = orLimit(m_fleet.runUntil(everywhere, minutes { 1 }));
        }

        std::uint64_t wholesServed()
        {
            std::uint64_t sum = 0;
            for (std::size_t i = 0; i < m_fleet.size(); ++i)
                sum += m_fleet.engine(i).counters().snapshotsServed;
            return sum;
        }

        void measureHalf()
        {
            const auto offset = m_fleet.publish();
            m_fleet.run(seconds { 10 });
            for (std::size_t i = 0; i < m_fleet.size(); i += 2)
                m_fleet.kill(i);
            for (std::size_t i = 0; i < m_fleet.size(); i += 2)
                m_fleet.start(i);
            const auto bytes = m_fleet.bytesSent();
            const auto reads = m_fleet.logReads();
            const auto begin = m_fleet.now();
            m_figures.halfRecovery = orLimit(m_fleet.runUntil([&] { return m_fleet.allServe(offset); }, minutes { 3 }));
            const std::chrono::duration<double> took = m_fleet.now() - begin;
            m_figures.halfLogReadsPerSecond = static_cast<double>(m_fleet.logReads() - reads) / took.count();
            m_figures.halfBytes = perNodeSecond(m_fleet.bytesSent() - bytes, took);
            m_figures.halfWholesServed = static_cast<double>(wholesServed()) / static_cast<double>(m_fleet.size());
            m_fleet.run(seconds { 60 });
        }

        void measureCut()
        {
            m_fleet.stopCounting();
            m_fleet.cut(domains - 1, true);
            for (int i = 0; i < changesWhileCut; ++i) {
                m_fleet.publish();
                m_fleet.run(std::chrono::duration_cast<milliseconds>(m_settings.cutTime) / changesWhileCut);
            }
            const auto offset = m_fleet.publish();
            m_fleet.run(seconds { 10 });
            m_fleet.heal();
            const auto begin = m_fleet.now();
            m_figures.cutConfiguration = orLimit(m_fleet.runUntil([&] { return m_fleet.allServe(offset); }, minutes { 5 }));
            const auto known = m_fleet.runUntil([&] { return m_fleet.allKnow(m_fleet.size()); }, minutes { 10 });
            m_figures.cutMembership = known ? std::chrono::duration_cast<milliseconds>(m_fleet.now() - begin) : milliseconds { -1 };
        }

        Fleet m_fleet;
        Settings m_settings;
        Figures m_figures;
    };

    struct Row {
        const char* name;
        const char* unit;
        double (*value)(const Figures&);
    };

    const Row rows[] = {
        { "log readers", "nodes", [](const Figures& it) { return static_cast<double>(it.readers); } },
        { "log reads at rest", "1/s", [](const Figures& it) { return it.logReadsPerSecond; } },
        { "bytes at rest, sent and received", "B/s a node", [](const Figures& it) { return it.restBytes; } },
        { "the same, busiest node", "B/s", [](const Figures& it) { return it.busiestRestBytes; } },
        { "decision time at rest", "us/s a node", [](const Figures& it) { return it.restCpuMicroseconds; } },
        { "bytes at 3,200 changes a day", "B/s a node", [](const Figures& it) { return it.changeBytes; } },
        { "change in force everywhere, median", "ms", [](const Figures& it) { return static_cast<double>(it.convergenceMedian.count()); } },
        { "change in force everywhere, longest", "ms", [](const Figures& it) { return static_cast<double>(it.convergenceLongest.count()); } },
        { "all start at once: all serve and know all", "ms", [](const Figures& it) { return static_cast<double>(it.startTime.count()); } },
        { "half returns empty: all serve", "ms", [](const Figures& it) { return static_cast<double>(it.halfRecovery.count()); } },
        { "half returns empty: log reads", "1/s", [](const Figures& it) { return it.halfLogReadsPerSecond; } },
        { "half returns empty: bytes until all serve", "B/s a node", [](const Figures& it) { return it.halfBytes; } },
        { "whole states served since start", "a node", [](const Figures& it) { return it.halfWholesServed; } },
        { "domain cut: newest version after", "ms", [](const Figures& it) { return static_cast<double>(it.cutConfiguration.count()); } },
        { "domain cut: all known after", "ms", [](const Figures& it) { return static_cast<double>(it.cutMembership.count()); } },
        { "one move: bytes", "B/s a node", [](const Figures& it) { return it.evidenceBytes; } },
        { "one move: median age of evidence", "ms", [](const Figures& it) { return static_cast<double>(it.evidenceMedianAge.count()); } },
        { "one move: 95th percentile of that age", "ms", [](const Figures& it) { return static_cast<double>(it.evidenceTailAge.count()); } },
        { "take-back notice everywhere", "ms", [](const Figures& it) { return static_cast<double>(it.noticeTime.count()); } },
        { "violations", "", [](const Figures& it) { return static_cast<double>(it.violations); } },
        { "wall time of the run", "s", [](const Figures& it) { return it.wallSeconds; } },
    };

    void printTable(const std::vector<Figures>& all)
    {
        std::printf("%-48s %-12s", "", "");
        for (const auto& it : all)
            std::printf(" %9zu", it.nodes);
        std::printf("\n");
        for (const auto& row : rows) {
            std::printf("%-48s %-12s", row.name, row.unit);
            for (const auto& it : all)
                std::printf(" %9.1f", row.value(it));
            std::printf("\n");
        }
    }

    void printJson(const std::vector<Figures>& all, std::uint64_t seed)
    {
        nlohmann::json json { { "seed", seed }, { "fleets", nlohmann::json::array() } };
        for (const auto& it : all) {
            nlohmann::json fleet { { "nodes", it.nodes } };
            for (const auto& row : rows)
                fleet[std::string(row.name) + (*row.unit ? std::string(" [") + row.unit + "]" : "")] = row.value(it);
            json["fleets"].push_back(fleet);
        }
        std::printf("%s\n", json.dump(2).c_str());
    }

    int measure(int argc, char** argv)
    {
        bool json = false;
        Settings settings;
        std::string sizes = "100,300,1000";
        for (int i = 1; i < argc; ++i) {
            if (std::strcmp(argv[i], "--json") == 0)
                json = true;
            else if (std::strcmp(argv[i], "--sizes") == 0 && i + 1 < argc)
                sizes = argv[++i];
            else if (std::strcmp(argv[i], "--seed") == 0 && i + 1 < argc)
                settings.seed = std::stoull(argv[++i]);
            else if (std::strcmp(argv[i], "--cut-minutes") == 0 && i + 1 < argc)
                settings.cutTime = minutes { std::stol(argv[++i]) };
            else if (std::strcmp(argv[i], "--changes") == 0 && i + 1 < argc)
                settings.changes = std::stoi(argv[++i]);
        }
        std::vector<Figures> all;
        std::istringstream list(sizes);
        for (std::string size; std::getline(list, size, ',');)
            all.push_back(Measurement(std::stoull(size), settings).run());
        if (json)
            printJson(all, settings.seed);
        else
            printTable(all);
        const bool holds = std::all_of(all.begin(), all.end(), [](const Figures& it) { return it.violations == 0 && it.convergenceLongest <= budget; });
        return holds ? 0 : 1;
    }

}

}

int main(int argc, char** argv)
{
    try {
        return carobpath::distribution::measure(argc, argv);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    }
}
