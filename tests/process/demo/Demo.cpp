#include "Demo.h"

#include "Eventually.h"
#include "Objects.h"
#include "Programs.h"

#include <array>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>
#include <string_view>

namespace carobpath::demo {

using namespace harness;
using namespace std::chrono_literals;

namespace {

    constexpr std::array<const char*, 3> failureDomains { "amman-a", "amman-b", "amman-c" };
    constexpr std::size_t upstreamsOfAVersion = 4;
    constexpr std::size_t upstreamsOfTheBadVersion = 2;
    constexpr double callsPerSecond = 120;
    constexpr auto moveBound = 45s;
    constexpr auto followInterval = 1s;
    constexpr auto loadBound = 110s;

    std::string percent(double share)
    {
        std::ostringstream text;
        text << std::fixed << std::setprecision(1) << share * 100 << " %";
        return text.str();
    }

    void require(bool isTrue, const std::string& what)
    {
        if (!isTrue)
            throw std::runtime_error(what);
    }

}

Demo::Demo()
    : m_startedAt(std::chrono::steady_clock::now())
{
}

bool Demo::run()
{
    startFleet();
    publishObjects();
    startLoad();
    moveToGoodVersion();
    moveToBadVersion();
    const bool isKept = report();
    stopFleet();
    return isKept;
}

void Demo::say(const std::string& text) const
{
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - m_startedAt;
    std::cout << std::fixed << std::setprecision(1) << std::setw(6) << elapsed.count() << " s  " << text << std::endl;
}

void Demo::addInstances(const std::string& version, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        BackendOptions options;
        options.version = version;
        options.work = 4ms;
        m_fleet.add(failureDomains[m_fleet.instances().size() % failureDomains.size()], options);
    }
}

void Demo::startFleet()
{
    say("starting the log stand-in and three failure domains: amman-a, amman-b, amman-c");
    addInstances("booking-1", upstreamsOfAVersion);
    addInstances("booking-2", upstreamsOfAVersion);
    addInstances("booking-3", upstreamsOfTheBadVersion);
    say("started " + std::to_string(m_fleet.instances().size()) + " nodes, each beside a backend server with 6 slots and 130 connections");
}

void Demo::publish(const std::string& what, const std::string& objects)
{
    if (std::string_view(programs::carobpath).empty()) {
        m_fleet.publisherOf("petra").publish(objects);
    } else {
        const auto result = m_fleet.operatorOf("petra").publish(objects);
        require(result.status == 0, "publishing failed: " + result.output + result.errors);
    }
    say("published " + what);
}

void Demo::publishObjects()
{
    publish("the service booking with its routes and versions, as member petra", objects::booking() + "---\n" + objects::bookingVersion("booking-3"));
    m_fleet.waitUntilInForce(0);
    say("the set is in force on every node");
    m_fleet.waitUntilUpstreams("booking-1", upstreamsOfAVersion);
    m_fleet.waitUntilUpstreams("booking-2", upstreamsOfAVersion);
    m_fleet.waitUntilUpstreams("booking-3", upstreamsOfTheBadVersion);
    say("every node knows every backend server; none was listed, each announced itself");
}

void Demo::startLoad()
{
    LoadOptions options;
    options.targets = m_fleet.callerEndpoints();
    options.calls = { "15 GET booking.petra.example /catalog", "4 POST booking.petra.example /booking", "1 GET booking.petra.example /reports/mirror?bytes=200000" };
    options.rate = callsPerSecond;
    options.duration = loadBound;
    m_load = std::make_unique<LoadRun>(m_fleet.directory(), options);
    say("callers make 120 calls a second at all nodes: browsing, bookings that may not be repeated, downloads");
}

nlohmann::json Demo::followMove(const std::string& name)
{
    const auto end = std::chrono::steady_clock::now() + moveBound;
    double lastShare = -1;
    while (std::chrono::steady_clock::now() < end) {
        auto report = m_fleet.node(0).adminJson("/v1/moves/" + name);
        if (report.is_object()) {
            const double share = report.value("share", 0.0);
            if (share != lastShare)
                say("  move " + name + ": " + report.value("state", "") + ", share of the new version " + percent(share));
            lastShare = share;
            if (report.value("state", "") != "in-progress" && report.value("recorded", false))
                return report;
        }
        std::this_thread::sleep_for(followInterval);
    }
    throw std::runtime_error("move " + name + " does not end");
}

void Demo::moveToGoodVersion()
{
    publish("the move to-2: booking-2 gets the traffic within 20 s", objects::bookingMove("to-2", "booking-2", "+0s", "+20s"));
    const auto report = followMove("to-2");
    require(report["state"] == "done", "the good version was not moved to: " + report.dump());
    say("move to-2 is done. Calls run so far: " + runsByVersion());
}

void Demo::moveToBadVersion()
{
    for (auto& instance : m_fleet.instances()) {
        if (instance.backend->process().events("started").front()["process"].get<std::string>().find("booking-3") != std::string::npos)
            instance.backend->set(R"({"failRate": 0.6, "badPathPrefix": "/booking"})");
    }
    say("booking-3 fails 60 % of the calls on the route of bookings alone");
    publish("the move to-3: booking-3 gets the traffic within 40 s", objects::bookingMove("to-3", "booking-3", "+0s", "+40s"));
    const auto report = followMove("to-3");
    require(report["state"] == "taken-back", "the bad version was not taken back: " + report.dump());
    say("move to-3 is taken back: " + report["verdict"].dump());
    say("calls run so far: " + runsByVersion());
}

std::string Demo::runsByVersion() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto& run : m_fleet.runs())
        ++counts[run["version"]];
    std::string text;
    for (const auto& [version, count] : counts)
        text += (text.empty() ? "" : ", ") + version + " " + std::to_string(count);
    return text;
}

bool Demo::report()
{
    m_load->stop();
    const auto summary = m_load->summary();
    const auto audit = auditRuns(m_load->calls(), m_fleet.runs());
    say("load ended: " + describe(audit));
    say("latency of answered calls: p50 " + summary["p50Ms"].dump() + " ms, p99 " + summary["p99Ms"].dump() + " ms; by status " + summary["byStatus"].dump());
    return audit.isClean();
}

void Demo::stopFleet()
{
    for (auto& instance : m_fleet.instances())
        instance.node->process().terminate();
    for (auto& instance : m_fleet.instances()) {
        require(instance.node->process().waitForExit() == 0, instance.node->name() + " did not stop gracefully");
        instance.backend->process().terminate();
    }
    for (auto& instance : m_fleet.instances())
        instance.backend->process().waitForExit();
    say("every process has stopped gracefully");
}

}
