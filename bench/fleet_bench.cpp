#include "Eventually.h"
#include "Fleet.h"
#include "Objects.h"
#include "ProcessUsage.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <numeric>
#include <string>
#include <thread>
#include <vector>

/// Measures what real nodes spend on control with growing fleets: memory and processor time at rest, reads of the log,
/// and how long a change takes to be in force on every node.
namespace {

using namespace carobpath::harness;
using carobpath::bench::usageOf;
using namespace std::chrono_literals;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::size_t failureDomains = 6;
constexpr int changes = 10;

struct Row {
    std::size_t nodes = 0;
    double residentMebibytesMean = 0;
    double residentMebibytesMax = 0;
    /// Of one core, over all nodes.
    double processorPercentMean = 0;
    double processorPercentMax = 0;
    double logReadsPerSecond = 0;
    Milliseconds convergenceMean {};
    Milliseconds convergenceMax {};
};

double mean(const std::vector<double>& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

void startNodes(Fleet& fleet, std::size_t nodes)
{
    for (std::size_t i = 0; i < nodes; ++i)
        fleet.add("domain-" + std::to_string(i % failureDomains + 1), {});
    fleet.publishBooking();
    fleet.waitUntilUpstreams("booking-1", nodes);
}

std::uint64_t logReads(const Fleet& fleet)
{
    return const_cast<Fleet&>(fleet).log().counts()["reads"].get<std::uint64_t>();
}

void measureRest(Fleet& fleet, std::chrono::seconds time, Row& row)
{
    std::vector<double> before;
    before.reserve(fleet.instances().size());
    for (const auto& it : fleet.instances())
        before.push_back(usageOf(it.node->process().id()).processorSeconds);
    const auto readsBefore = logReads(fleet);
    std::this_thread::sleep_for(time);
    row.logReadsPerSecond = static_cast<double>(logReads(fleet) - readsBefore) / static_cast<double>(time.count());
    std::vector<double> percents;
    std::vector<double> mebibytes;
    for (std::size_t i = 0; i < before.size(); ++i) {
        const auto usage = usageOf(fleet.node(i).process().id());
        percents.push_back(100 * (usage.processorSeconds - before[i]) / static_cast<double>(time.count()));
        mebibytes.push_back(static_cast<double>(usage.residentBytes) / (1 << 20));
    }
    row.processorPercentMean = mean(percents);
    row.processorPercentMax = *std::max_element(percents.begin(), percents.end());
    row.residentMebibytesMean = mean(mebibytes);
    row.residentMebibytesMax = *std::max_element(mebibytes.begin(), mebibytes.end());
}

/// \returns milliseconds since the epoch of an event, from its hybrid time.
double millisecondsOf(const EventLine& event)
{
    return std::stod(event["hybrid"].get<std::string>());
}

Milliseconds convergenceOf(Fleet& fleet, const std::string& version)
{
    auto publisher = fleet.publisherOf("petra");
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto appendedAt = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const auto offset = publisher.publish(objects::bookingVersion(version));
    double last = 0;
    for (const auto& it : fleet.instances()) {
        const auto reached = [&](const EventLine& event) { return event["offset"].get<std::uint64_t>() >= offset; };
        last = std::max(last, millisecondsOf(it.node->process().waitForEvent("configuration-in-force", reached)));
    }
    return Milliseconds { last - static_cast<double>(appendedAt) };
}

Row measure(std::size_t nodes, std::chrono::seconds rest)
{
    Fleet fleet;
    startNodes(fleet, nodes);
    std::this_thread::sleep_for(5s);
    Row row;
    row.nodes = nodes;
    measureRest(fleet, rest, row);
    std::vector<double> times;
    times.reserve(changes);
    for (int i = 0; i < changes; ++i)
        times.push_back(convergenceOf(fleet, "booking-extra-" + std::to_string(i)).count());
    row.convergenceMean = Milliseconds { mean(times) };
    row.convergenceMax = Milliseconds { *std::max_element(times.begin(), times.end()) };
    return row;
}

void printRow(const Row& row)
{
    std::printf("%5zu  %8.1f %8.1f  %8.2f %8.2f  %10.1f  %9.0f %9.0f\n", row.nodes, row.residentMebibytesMean, row.residentMebibytesMax,
        row.processorPercentMean, row.processorPercentMax, row.logReadsPerSecond, row.convergenceMean.count(), row.convergenceMax.count());
    std::fflush(stdout);
}

nlohmann::json toJson(const Row& row)
{
    return {
        { "nodes", row.nodes },
        { "residentMebibytesMean", row.residentMebibytesMean },
        { "residentMebibytesMax", row.residentMebibytesMax },
        { "processorPercentMean", row.processorPercentMean },
        { "processorPercentMax", row.processorPercentMax },
        { "logReadsPerSecond", row.logReadsPerSecond },
        { "convergenceMeanMs", row.convergenceMean.count() },
        { "convergenceMaxMs", row.convergenceMax.count() },
    };
}

}

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("carobpath-bench-fleet", "What real nodes spend on control, by the size of the fleet");
        options.add_options()("sizes", "nodes", cxxopts::value<std::vector<std::size_t>>()->default_value("12,36,72"));
        options.add_options()("seconds", "at rest", cxxopts::value<int>()->default_value("10"));
        options.add_options()("json", "print JSON after the table");
        options.add_options()("help", "print this help");
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        std::printf("nodes  MiB mean/max       %% of a core mean/max  log reads/s  change in force ms mean/max\n");
        nlohmann::json all = nlohmann::json::array();
        for (const auto size : arguments["sizes"].as<std::vector<std::size_t>>()) {
            const auto row = measure(size, std::chrono::seconds { arguments["seconds"].as<int>() });
            printRow(row);
            all.push_back(toJson(row));
        }
        if (arguments.count("json") != 0)
            std::cout << all.dump(2) << '\n';
        return 0;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "carobpath-bench-fleet: %s\n", e.what());
        return 1;
    }
}
