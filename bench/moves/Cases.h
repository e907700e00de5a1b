#pragma once

#include "moves/Scenario.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace carobpath::bench {

/// One kind of move; each seed draws one scenario of it.
struct Case {
    std::string name;
    std::function<void(Scenario&, std::mt19937_64&)> shape;
};

const std::vector<Case>& allCases();

/// Petra's and Akwapim's services at today's number of upstreams.
const std::vector<MemberProfile>& allMembers();

Scenario drawScenario(const Case&, const MemberProfile&, std::mt19937_64&);

}
