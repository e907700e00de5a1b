#include "carobpath/publication/ConfigurationLogFollower.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <string>

/// Measures what one published record costs a reader of the log, and what a checkpoint weighs, at several sizes of the set.
namespace carobpath::publication {

namespace {

    constexpr int records = 400;
    constexpr int routesPerService = 8;
    constexpr int versionsPerService = 3;

    const MemberName member { "petra" };

    KeyPair key(char digit) { return KeyPair::fromHex(std::string(64, digit)).value(); }

    std::vector<Change> serviceChanges(int index)
    {
        const std::string name = "service-" + std::to_string(index);
        std::vector<Change> changes { PutService { { ServiceName { name }, member, VersionName { name + "-0" }, { name + ".petra.example" } } } };
        for (int i = 0; i < versionsPerService; ++i)
            changes.emplace_back(PutVersion { { VersionName { name + "-" + std::to_string(i) }, member, ServiceName { name } } });
        for (int i = 0; i < routesPerService; ++i) {
            Route route;
            route.name = RouteName { name + "-route-" + std::to_string(i) };
            route.member = member;
            route.service = ServiceName { name };
            route.pathPrefix = "/path/" + std::to_string(i);
            changes.emplace_back(PutRoute { std::move(route) });
        }
        return changes;
    }

    std::string recordOf(Offset offset, std::vector<Change> changes)
    {
        return encodeRecord(sign(PublishRecord { { "bench", { 1 }, offset }, member, offset, std::move(changes), {} }, key('1')));
    }

    std::vector<std::string> logOf(int services)
    {
        std::vector<std::string> log;
        log.reserve(static_cast<std::size_t>(services) + records);
        for (int i = 0; i < services; ++i)
            log.push_back(recordOf(log.size(), serviceChanges(i)));
        for (int i = 0; i < records; ++i) {
            Route route;
            route.name = RouteName { "service-0-route-0" };
            route.member = member;
            route.service = ServiceName { "service-0" };
            route.pathPrefix = "/changed/" + std::to_string(i);
            log.push_back(recordOf(log.size(), { PutRoute { std::move(route) } }));
        }
        return log;
    }

    using Milliseconds = std::chrono::duration<double, std::milli>;

    template <typename Work>
    Milliseconds timeOf(Work work)
    {
        const auto start = std::chrono::steady_clock::now();
        work();
        return std::chrono::steady_clock::now() - start;
    }

    nlohmann::json measure(int services)
    {
        TrustedKeys keys;
        keys.addMember(member, key('1').publicKey());
        keys.addFleet(key('2').publicKey());
        const auto log = logOf(services);
        ConfigurationStateMachine fold { keys };
        std::size_t next = 0;
        for (; next < static_cast<std::size_t>(services); ++next)
            fold.apply(next, log[next]);
        const auto folding = timeOf([&] {
            for (; next < log.size(); ++next)
                fold.apply(next, log[next]);
        });
        std::string checkpoint;
        const auto writing = timeOf([&] { checkpoint = encodeRecord(sign(CheckpointRecord { { "n", { 1 }, 1 }, NodeName { "n" }, {}, fold.state(), {} }, key('2'))); });
        const auto recovering = timeOf([&] {
            const auto record = decodeRecord(checkpoint);
            static_cast<void>(ConfigurationStateMachine::fromCheckpoint(std::get<CheckpointRecord>(record.value()), keys));
        });
        return { { "services", services }, { "objects", services * (1 + routesPerService + versionsPerService) }, { "setBytes", encode(fold.current()->set).size() },
            { "recordMs", folding.count() / records }, { "recordBytes", log.back().size() }, { "checkpointBytes", checkpoint.size() },
            { "checkpointWriteMs", writing.count() }, { "checkpointStartMs", recovering.count() } };
    }

}

}

namespace {

void printTable()
{
    std::printf("%9s %8s %10s %10s %12s %12s %10s %10s\n", "services", "objects", "set bytes", "record ms", "record bytes", "checkpoint", "write ms", "start ms");
    auto rows = nlohmann::json::array();
    for (const int services : { 3, 27, 100 }) {
        const auto row = carobpath::publication::measure(services);
        std::printf("%9d %8d %10d %10.3f %12d %12d %10.2f %10.2f\n", row["services"].get<int>(), row["objects"].get<int>(), row["setBytes"].get<int>(),
            row["recordMs"].get<double>(), row["recordBytes"].get<int>(), row["checkpointBytes"].get<int>(), row["checkpointWriteMs"].get<double>(), row["checkpointStartMs"].get<double>());
        rows.push_back(row);
    }
    std::printf("%s\n", rows.dump().c_str());
}

}

int main()
{
    try {
        printTable();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "%s\n", e.what());
        return 1;
    }
    return 0;
}
