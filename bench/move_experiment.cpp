/// Plays moves of good and bad versions with many seeds and prints what became of them.
#include "carobpath/publication/EnumText.h"
#include "moves/Cases.h"
#include "moves/Experiment.h"
#include "moves/Summary.h"

#include <cxxopts.hpp>

#include <atomic>
#include <cstdio>
#include <iostream>
#include <optional>
#include <thread>

namespace carobpath::bench {

namespace {

    struct Options {
        std::size_t seeds = 1000;
        std::string caseName;
        std::string member;
        std::string policy;
        std::size_t threads = 3;
        /// Replaces the member's own setting where given.
        std::optional<publication::ThinEvidencePolicy> onThinEvidence;
        bool json = false;
        bool failures = false;
    };

    constexpr std::uint64_t seedStep = 0x9e3779b97f4a7c15ULL;

    std::uint64_t seedOf(std::size_t index)
    {
        return seedStep * (index + 1);
    }

    void printFailure(const Scenario& scenario, const RunResult& run, std::size_t index)
    {
        const bool isAsWanted = run.isWithdrawn || (run.isGood ? run.outcome == publication::MoveOutcome::Done && run.isInTime : run.outcome == publication::MoveOutcome::TakenBack);
        if (isAsWanted)
            return;
        std::cerr << "seed " << index << ": outcome " << (run.outcome ? static_cast<int>(*run.outcome) : -1) << " reason "
                  << static_cast<int>(run.reason) << " in time " << run.isInTime << " harmed " << run.harmed
                  << " length " << scenario.length.count() << " service " << scenario.service.name << " fails " << scenario.badness.failRate << " slowdown "
                  << scenario.badness.slowdown << " onset " << scenario.badness.onset.count() << '\n';
    }

    std::vector<RunResult> runAll(const Case& kind, const MemberProfile& member, PolicyKind policy, const Options& options)
    {
        std::vector<RunResult> results(options.seeds);
        std::atomic<std::size_t> next { 0 };
        const auto work = [&] {
            for (auto i = next++; i < options.seeds; i = next++) {
                std::mt19937_64 random { seedOf(i) };
                auto scenario = drawScenario(kind, member, random);
                scenario.onThinEvidence = options.onThinEvidence.value_or(scenario.onThinEvidence);
                results[i] = runMove(scenario, policy, random());
            }
        };
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < options.threads; ++i)
            threads.emplace_back(work);
        for (auto& it : threads)
            it.join();
        return results;
    }

    void run(const Options& options)
    {
        if (!options.json)
            std::cout << tableHead() << std::endl;
        for (const auto& kind : allCases()) {
            if (!options.caseName.empty() && kind.name != options.caseName)
                continue;
            for (const auto& member : allMembers()) {
                if (!options.member.empty() && member.name.value() != options.member)
                    continue;
                for (const auto policy : { PolicyKind::Ours, PolicyKind::FixedStep }) {
                    const auto* const name = policy == PolicyKind::Ours ? "ours" : "fixed-step";
                    if (!options.policy.empty() && options.policy != name)
                        continue;
                    const auto results = runAll(kind, member, policy, options);
                    const auto summary = summarize(kind.name, member.name.value(), policy, results);
                    std::cout << (options.json ? toJson(summary) : tableRow(summary)) << std::endl;
                    for (std::size_t i = 0; options.failures && i < results.size(); ++i) {
                        std::mt19937_64 random { seedOf(i) };
                        printFailure(drawScenario(kind, member, random), results[i], i);
                    }
                }
            }
        }
    }

}

int runFromCommandLine(int argc, char** argv)
{
    cxxopts::Options parser("carobpath-bench-moves", "Measures the policy of moves on drawn scenarios.");
    auto add = parser.add_options();
    add("seeds", "runs of each case", cxxopts::value<std::size_t>()->default_value("1000"));
    add("case", "only this case", cxxopts::value<std::string>()->default_value(""));
    add("member", "petra or akwapim", cxxopts::value<std::string>()->default_value(""));
    add("policy", "ours or fixed-step", cxxopts::value<std::string>()->default_value(""));
    add("threads", "threads", cxxopts::value<std::size_t>()->default_value("3"));
    add("thin-evidence", "finish or take-back, in place of the member's setting", cxxopts::value<std::string>()->default_value(""));
    add("json", "one JSON object a line");
    add("failures", "name the seeds that missed on standard error");
    const auto given = parser.parse(argc, argv);
    run({ given["seeds"].as<std::size_t>(), given["case"].as<std::string>(), given["member"].as<std::string>(),
        given["policy"].as<std::string>(), given["threads"].as<std::size_t>(), publication::thinEvidencePolicyFromString(given["thin-evidence"].as<std::string>()), given.count("json") != 0, given.count("failures") != 0 });
    return 0;
}

}

int main(int argc, char** argv)
{
    try {
        return carobpath::bench::runFromCommandLine(argc, argv);
    } catch (...) {
        std::fputs("carobpath-bench-moves: an option is not understood\n", stderr);
        return 2;
    }
}
