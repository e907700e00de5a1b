#include "Drill.h"

#include "carobpath/foundation/SettingParsers.h"

#include <cxxopts.hpp>

#include <iostream>
#include <limits>
#include <stdexcept>
#include <unistd.h>

namespace {

using namespace std::chrono_literals;

/// Start, settling and report beside the faults.
constexpr std::chrono::seconds extraTime { 150 };

/// \returns the value; throws std::invalid_argument where there is none.
template <typename T>
T valueOf(const carobpath::Parsed<T>& parsed)
{
    if (const auto* problem = std::get_if<carobpath::SettingProblem>(&parsed))
        throw std::invalid_argument(problem->detail);
    return std::get<T>(parsed);
}

cxxopts::Options optionsOfDrill()
{
    cxxopts::Options options("carobpath-drill", "Faults on real processes with a load running, and a count for each promise");
    auto add = options.add_options();
    add("duration", "how long faults come, such as 40s", cxxopts::value<std::string>()->default_value("40s"));
    add("seed", "of the faults", cxxopts::value<std::string>()->default_value("1"));
    add("time-line", "file of the merged time line", cxxopts::value<std::string>()->default_value("drill-timeline.jsonl"));
    return options;
}

int run(const cxxopts::ParseResult& options)
{
    const auto duration = valueOf(carobpath::parseDuration(options["duration"].as<std::string>(), { 1s, 10min }));
    const auto seed = valueOf(carobpath::parseInteger(options["seed"].as<std::string>(), { 0, std::numeric_limits<std::int64_t>::max() }));
    ::alarm(static_cast<unsigned>(std::chrono::ceil<std::chrono::seconds>(duration + extraTime).count()));
    std::cout << "seed " << seed << '\n';
    carobpath::drill::Drill drill(std::chrono::ceil<std::chrono::seconds>(duration), static_cast<std::uint64_t>(seed));
    return drill.run(options["time-line"].as<std::string>()) ? 0 : 1;
}

}

/// The recovery drill; exits with 1 where a promise was broken.
int main(int argc, char** argv)
{
    try {
        return run(optionsOfDrill().parse(argc, argv));
    } catch (const std::exception& e) {
        std::cerr << "The drill failed: " << e.what() << '\n';
        return 1;
    }
}
