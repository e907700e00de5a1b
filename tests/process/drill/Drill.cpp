#include "Drill.h"

#include "Eventually.h"
#include "Objects.h"
#include "RunAudit.h"

#include "carobpath/publication/Codec.h"

#include <array>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace carobpath::drill {

using namespace harness;
using namespace std::chrono_literals;

namespace {

    constexpr std::array<const char*, 3> failureDomains { "amman-a", "amman-b", "amman-c" };
    constexpr std::size_t instances = 6;
    constexpr std::size_t herd = 2;
    constexpr auto faultTime = 2s;
    constexpr auto calmTime = 1s;
    constexpr auto loadBound = 150s;
    /// A backend server that drains may still be sent calls for this long.
    constexpr std::chrono::seconds drainNews { 3 };
    /// It stays reachable for longer, so that calls which come late are counted.
    constexpr std::chrono::seconds drainTime { 6 };

    std::vector<EventLine> parsed(const std::string& lines)
    {
        std::vector<EventLine> events;
        std::istringstream in(lines);
        for (std::string line; std::getline(in, line);) {
            auto event = nlohmann::json::parse(line, nullptr, false);
            if (event.is_object())
                events.push_back(std::move(event));
        }
        return events;
    }

    std::chrono::milliseconds wallOf(const EventLine& event)
    {
        return std::chrono::milliseconds(std::stoll(event.value("hybrid", "0.0")));
    }

}

Drill::Drill(std::chrono::seconds duration, std::uint64_t seed)
    : m_duration(duration)
    , m_random(seed)
    , m_startedAt(std::chrono::steady_clock::now())
{
}

bool Drill::run(const std::string& timeLineFile)
{
    startFleet();
    startLoad();
    injectFaults();
    settle();
    stopOneGracefully();
    const auto promises = count();
    std::cout << table(promises);
    std::ofstream(timeLineFile) << mergedTimeLine(allEvents());
    say("the merged time line is in " + timeLineFile);
    return std::all_of(promises.begin(), promises.end(), [](const auto& it) { return it.broken.value_or(0) == 0; });
}

void Drill::say(const std::string& text) const
{
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - m_startedAt;
    std::cout << std::fixed << std::setprecision(1) << std::setw(6) << elapsed.count() << " s  " << text << std::endl;
}

std::size_t Drill::randomNode() { return m_random() % instances; }

void Drill::startFleet()
{
    BackendOptions options;
    options.drain = drainTime;
    for (std::size_t i = 0; i < instances; ++i)
        m_fleet.add(failureDomains[i % failureDomains.size()], options);
    m_fleet.publishBooking();
    say("six nodes in three failure domains have Petra's booking in force");
}

void Drill::startLoad()
{
    LoadOptions options;
    options.targets = m_fleet.callerEndpoints();
    options.calls = { "6 GET booking.petra.example /catalog", "3 POST booking.petra.example /booking", "1 GET booking.petra.example /reports/a?bytes=100000" };
    options.duration = loadBound;
    options.timeout = 6s;
    m_load = std::make_unique<LoadRun>(m_fleet.directory(), options);
}

void Drill::injectFaults()
{
    const std::array<void (Drill::*)(), 5> faults { &Drill::killHerd, &Drill::takeLogDown, &Drill::freezeNode, &Drill::freezeBackend, &Drill::raceOperators };
    const auto end = std::chrono::steady_clock::now() + m_duration;
    // Each fault comes once; after that they come as they are drawn.
    for (std::size_t round = 0; std::chrono::steady_clock::now() < end; ++round) {
        const auto fault = round < faults.size() ? faults[round] : faults[m_random() % faults.size()];
        (this->*fault)();
        std::this_thread::sleep_for(calmTime);
    }
}

void Drill::killHerd()
{
    const auto first = randomNode();
    say("killing " + std::to_string(herd) + " nodes at once");
    for (std::size_t i = 0; i < herd; ++i)
        m_fleet.node((first + i) % instances).process().kill();
    std::this_thread::sleep_for(faultTime);
    for (std::size_t i = 0; i < herd; ++i)
        m_fleet.node((first + i) % instances).start();
}

void Drill::takeLogDown()
{
    say("taking the log down");
    m_fleet.log().set(R"({"down": true})");
    std::this_thread::sleep_for(faultTime);
    m_fleet.log().set(R"({"down": false, "answerLostAfterWrite": 1})");
}

void Drill::freezeNode()
{
    auto& process = m_fleet.node(randomNode()).process();
    say("freezing a node");
    process.freeze();
    std::this_thread::sleep_for(faultTime);
    process.thaw();
}

void Drill::freezeBackend()
{
    auto& process = m_fleet.backend(randomNode()).process();
    say("freezing a backend server");
    process.freeze();
    std::this_thread::sleep_for(faultTime);
    process.thaw();
}

void Drill::raceOperators()
{
    say("two operators race for one object");
    auto first = m_fleet.publisherOf("petra");
    auto second = m_fleet.publisherOf("petra");
    const auto name = "race-" + std::to_string(++m_races);
    const auto base = first.next();
    const auto one = first.record(objects::bookingVersion(name), base);
    const auto two = second.record(objects::bookingVersion(name), base);
    std::uint64_t offset = 0;
    if (first.append(one, &offset) != 200)
        first.append(one, &offset);
    second.append(two);
    const auto appendedAt = std::chrono::steady_clock::now();
    m_fleet.waitUntilInForce(offset);
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - appendedAt);
    m_slowestInForce = std::max(m_slowestInForce, took);
}

void Drill::settle()
{
    for (std::size_t i = 0; i < instances; ++i)
        eventually(m_fleet.node(i).name() + " is ready", [&] { return m_fleet.node(i).isReady(); });
    say("the faults are over and every node is ready");
}

void Drill::stopOneGracefully()
{
    m_drained = randomNode();
    say("draining one backend server, and stopping another's node gracefully");
    m_fleet.backend(m_drained).process().terminate();
    auto& process = m_fleet.node((m_drained + 1) % instances).process();
    process.terminate();
    process.waitForExit();
    ++m_gracefulStops;
    for (const auto& stopped : process.events("stopped"))
        m_cutByStops += stopped.value("cut", std::uint64_t { 0 });
    m_fleet.backend(m_drained).process().waitForExit();
    m_load->stop();
    m_load->summary();
}

std::vector<EventLine> Drill::allEvents() const
{
    std::vector<EventLine> events;
    auto& fleet = const_cast<Fleet&>(m_fleet);
    for (auto& instance : fleet.instances()) {
        for (const auto& lines : { instance.node->timeLine(), instance.backend->process().output() }) {
            const auto some = parsed(lines);
            events.insert(events.end(), some.begin(), some.end());
        }
    }
    const auto log = parsed(fleet.log().process().output());
    events.insert(events.end(), log.begin(), log.end());
    return events;
}

std::uint64_t Drill::danglingRoutes() const
{
    std::uint64_t dangling = 0;
    for (auto& instance : const_cast<Fleet&>(m_fleet).instances()) {
        const auto set = publication::decode<publication::ConfigurationSet>(instance.node->admin("/v1/objects").body);
        if (!set)
            continue;
        for (const auto& [name, entry] : set->routes)
            dangling += set->services.contains(entry.route.service) ? 0 : 1;
        for (const auto& [name, entry] : set->services)
            dangling += set->versions.contains(entry.currentVersion) ? 0 : 1;
    }
    return dangling;
}

std::uint64_t Drill::lateCallsAfterDrain() const
{
    auto& process = const_cast<Fleet&>(m_fleet).backend(m_drained).process();
    const auto draining = process.events("draining");
    std::uint64_t late = 0;
    for (const auto* kind : { "executed", "refused" }) {
        for (const auto& event : process.events(kind))
            late += !draining.empty() && wallOf(event) > wallOf(draining.front()) + drainNews ? 1 : 0;
    }
    return late;
}

std::vector<PromiseCount> Drill::count()
{
    const auto configurations = auditConfigurations(allEvents());
    const auto runs = auditRuns(m_load->calls(), m_fleet.runs());
    const auto inForce = std::to_string(configurations.inForce) + " versions taken by nodes";
    std::cout << describe(runs) << '\n';
    return {
        { "No node goes back to an older configuration than it held", configurations.stepsBack, inForce },
        { "No route points at a service or version that the node lacks", danglingRoutes(), "in the sets at the end" },
        { "No configuration is applied in part", configurations.digestConflicts, inForce },
        { "A bad version gets a small share, and none once its badness shows", std::nullopt, "shown by tools/demo.sh and process-move" },
        { "Each caller gets the whole answer to its own request", runs.wrongAnswers + runs.falseRuns, std::to_string(runs.answered) + " answers" },
        { "What is refused as not run did not run", runs.falseRefusals, std::to_string(runs.refusedAsNotRun) + " refusals" },
        { "A call that may not be repeated runs at most once", runs.repeatedRuns, std::to_string(runs.calls) + " calls" },
        { "A backend server that leaves gets no new work after some seconds", lateCallsAfterDrain(), "one drained" },
        { "A graceful stop cuts no request in flight", m_cutByStops, std::to_string(m_gracefulStops) + " stopped" },
        { "An accepted configuration is in force everywhere within seconds", m_slowestInForce > 5s ? 1U : 0U,
            std::to_string(m_races) + " raced, slowest " + std::to_string(m_slowestInForce.count()) + " ms" },
    };
}

}
