#include "LoadGenerator.h"

#include <cxxopts.hpp>

#include <iostream>

namespace {

using namespace carobpath::standins;

cxxopts::Options optionsOfLoad()
{
    cxxopts::Options options("mesh-load", "An open-loop load for tests and benches; the last line of its output is the summary");
    auto add = options.add_options();
    add("target", "IP:PORT of a node, more than once for several", cxxopts::value<std::vector<std::string>>());
    add("call", "\"WEIGHT METHOD HOST TARGET\", more than once for a mix", cxxopts::value<std::vector<std::string>>());
    add("rate", "calls a second", cxxopts::value<double>()->default_value("100"));
    add("duration-ms", "how long", cxxopts::value<std::uint64_t>()->default_value("10000"));
    add("timeout-ms", "of a call", cxxopts::value<std::uint64_t>()->default_value("10000"));
    add("open", "calls open at one time", cxxopts::value<std::size_t>()->default_value("1000"));
    add("seed", "of the moments and the mix", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("keys", "send an idempotency key with each POST");
    add("verbose", "write each call as an event");
    return options;
}

LoadShape shapeOf(const cxxopts::ParseResult& options)
{
    LoadShape shape;
    for (const auto& target : options["target"].as<std::vector<std::string>>())
        shape.targets.push_back(endpointFromText(target));
    shape.callsPerSecond = options["rate"].as<double>();
    shape.duration = std::chrono::milliseconds(options["duration-ms"].as<std::uint64_t>());
    shape.timeout = std::chrono::milliseconds(options["timeout-ms"].as<std::uint64_t>());
    shape.maximumOpen = options["open"].as<std::size_t>();
    shape.seed = options["seed"].as<std::uint64_t>();
    shape.hasKeys = options.count("keys") > 0;
    shape.isVerbose = options.count("verbose") > 0;
    return shape;
}

int run(const cxxopts::ParseResult& options)
{
    StandinProcess process("load/" + std::to_string(options["seed"].as<std::uint64_t>()));
    LoadGenerator generator(process, shapeOf(options), LoadMix(options["call"].as<std::vector<std::string>>()));
    process.events().record(carobpath::Event(carobpath::event::started));
    generator.start();
    process.run([&generator] { generator.stop(); });
    std::cout << generator.report().json(generator.elapsed()) << std::endl;
    return generator.report().wrongAnswers() == 0 ? 0 : 1;
}

}

/// A load of calls; exits with 1 where an answer was not the call's own.
int main(int argc, char** argv)
{
    try {
        return run(optionsOfLoad().parse(argc, argv));
    } catch (const std::exception& e) {
        std::cerr << e.what() << '\n';
        return 2;
    }
}
