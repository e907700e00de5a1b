#pragma once

/// \file
/// Property tests over generated histories with a fixed seed.

#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>

#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

namespace carobpath::routing::tests {

/// One step of a history: its action, and a number that selects the details.
struct Step {
    std::uint32_t action = 0;
    std::uint32_t detail = 0;
};

inline std::ostream& operator<<(std::ostream& out, const Step& it)
{
    return out << it.action << ':' << it.detail;
}

using Steps = std::vector<Step>;

struct HistoryParameters {
    std::uint64_t seed = 1;
    int histories = 400;
    std::uint32_t actions = 1;
    int maxSteps = 120;
};

/// \returns whether the check holds for every generated history; an unexpected counterexample is shrunk and printed.
template <typename Check>
bool holdsForAll(const std::string& name, const HistoryParameters& parameters, bool printFailure, Check check)
{
    rc::detail::TestParams params;
    params.seed = parameters.seed;
    params.maxSuccess = parameters.histories;
    params.maxSize = parameters.maxSteps;
    params.disableShrinking = !printFailure;
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    const auto step = rc::gen::map(
        rc::gen::pair(rc::gen::inRange<std::uint32_t>(0, parameters.actions), rc::gen::inRange<std::uint32_t>(0, 1000)),
        [](const std::pair<std::uint32_t, std::uint32_t>& it) { return Step { it.first, it.second }; });
    rc::detail::TestListenerAdapter quiet;
    const auto result = rc::detail::checkTestable(
        [&] {
            const auto steps = *rc::gen::container<Steps>(step);
            RC_ASSERT(check(steps));
        },
        metadata, params, quiet);
    const bool holds = result.template is<rc::detail::SuccessResult>();
    std::cout << name << ": seed " << parameters.seed << ", " << parameters.histories << " histories, "
              << (holds ? "holds" : "violated") << '\n';
    if (!holds && printFailure)
        rc::detail::printResultMessage(result, std::cerr);
    return holds;
}

}
