#include "Fleet.h"
#include "ProcessUsage.h"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

/// Measures what the two node processes on the path add to a call: the same open-loop load goes first straight to the
/// backend server, then through a node whose own backend server does not serve the version, so that each call crosses
/// to the node beside another one.
namespace {

using namespace carobpath::harness;
using carobpath::bench::usageOf;
using namespace std::chrono_literals;

constexpr double microsecondsPerSecond = 1e6;

/// What one load came to; latencies in milliseconds.
struct LoadFigures {
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    std::uint64_t calls = 0;
    std::uint64_t succeeded = 0;
};

struct Row {
    double rate = 0;
    LoadFigures direct;
    LoadFigures meshed;
    /// Processor time of the two nodes in seconds for each call.
    double entrySecondsPerCall = 0;
    double admittingSecondsPerCall = 0;
};

struct BenchOptions {
    std::vector<double> rates;
    std::chrono::seconds duration { 5 };
};

BackendOptions servingBackend()
{
    BackendOptions options;
    options.slots = 64;
    options.connections = 1000;
    options.waiting = 64;
    options.work = 0ms;
    return options;
}

BackendOptions idleBackend()
{
    BackendOptions options;
    options.version = "booking-2";
    return options;
}

LoadFigures loadOn(const Fleet& fleet, const std::string& target, double rate, std::chrono::seconds duration)
{
    LoadOptions options;
    options.targets = { target };
    options.calls = { "1 GET booking.petra.example /catalog" };
    options.rate = rate;
    options.duration = duration;
    LoadRun run(fleet.directory(), options);
    const auto summary = run.summary();
    LoadFigures figures;
    figures.p50 = summary["p50Ms"].get<double>();
    figures.p99 = summary["p99Ms"].get<double>();
    figures.p999 = summary["p999Ms"].get<double>();
    figures.calls = summary["calls"].get<std::uint64_t>();
    figures.succeeded = summary["succeeded"].get<std::uint64_t>();
    return figures;
}

Row measure(Fleet& fleet, double rate, std::chrono::seconds duration)
{
    Row row;
    row.rate = rate;
    row.direct = loadOn(fleet, fleet.backend(1).endpoint(), rate, duration);
    const int entry = fleet.node(0).process().id();
    const int admitting = fleet.node(1).process().id();
    const double entryBefore = usageOf(entry).processorSeconds;
    const double admittingBefore = usageOf(admitting).processorSeconds;
    row.meshed = loadOn(fleet, fleet.node(0).callers(), rate, duration);
    const auto calls = static_cast<double>(row.meshed.calls);
    row.entrySecondsPerCall = (usageOf(entry).processorSeconds - entryBefore) / calls;
    row.admittingSecondsPerCall = (usageOf(admitting).processorSeconds - admittingBefore) / calls;
    return row;
}

void printRow(const Row& row)
{
    const auto& direct = row.direct;
    const auto& meshed = row.meshed;
    std::printf("%8.0f  %7.3f %7.3f %7.3f  %7.3f %7.3f %7.3f  %7.3f %7.3f %7.3f  %6.0f %6.0f  %llu/%llu\n", row.rate,
        direct.p50, direct.p99, direct.p999, meshed.p50, meshed.p99, meshed.p999,
        meshed.p50 - direct.p50, meshed.p99 - direct.p99, meshed.p999 - direct.p999,
        row.entrySecondsPerCall * microsecondsPerSecond, row.admittingSecondsPerCall * microsecondsPerSecond,
        static_cast<unsigned long long>(meshed.succeeded), static_cast<unsigned long long>(meshed.calls));
    std::fflush(stdout);
}

nlohmann::json toJson(const LoadFigures& it)
{
    return { { "p50Ms", it.p50 }, { "p99Ms", it.p99 }, { "p999Ms", it.p999 }, { "calls", it.calls }, { "succeeded", it.succeeded } };
}

nlohmann::json toJson(const Row& row)
{
    return {
        { "rate", row.rate },
        { "direct", toJson(row.direct) },
        { "meshed", toJson(row.meshed) },
        { "entryMicrosecondsPerCall", row.entrySecondsPerCall * microsecondsPerSecond },
        { "admittingMicrosecondsPerCall", row.admittingSecondsPerCall * microsecondsPerSecond },
    };
}

std::vector<Row> run(const BenchOptions& options)
{
    Fleet fleet;
    fleet.add("amman-a", idleBackend());
    fleet.add("amman-a", servingBackend());
    fleet.publishBooking();
    loadOn(fleet, fleet.node(0).callers(), 200, 2s);
    std::printf("calls/s    direct p50/p99/p99.9 ms    two nodes p50/p99/p99.9 ms  added p50/p99/p99.9 ms    us a call: entry, admitting  answered\n");
    std::vector<Row> rows;
    for (const double rate : options.rates) {
        rows.push_back(measure(fleet, rate, options.duration));
        printRow(rows.back());
    }
    return rows;
}

}

int main(int argc, char** argv)
{
    try {
        cxxopts::Options options("carobpath-bench-latency", "Latency and processor time that two nodes add to a call");
        options.add_options()("rates", "calls a second", cxxopts::value<std::vector<double>>()->default_value("1,100,1000,2000,4000,6000"));
        options.add_options()("seconds", "of each load", cxxopts::value<int>()->default_value("5"));
        options.add_options()("json", "print JSON after the table");
        options.add_options()("help", "print this help");
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        BenchOptions bench { arguments["rates"].as<std::vector<double>>(), std::chrono::seconds { arguments["seconds"].as<int>() } };
        const auto rows = run(bench);
        if (arguments.count("json") != 0) {
            nlohmann::json all = nlohmann::json::array();
            for (const auto& row : rows)
                all.push_back(toJson(row));
            std::cout << all.dump(2) << '\n';
        }
        return 0;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "carobpath-bench-latency: %s\n", e.what());
        return 1;
    }
}
