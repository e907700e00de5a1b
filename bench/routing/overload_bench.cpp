// Calls that reach backend servers for each caller's call under overload: the product's decisions against three tries.
#include "NodeRun.h"
#include "PlainRetryRun.h"

namespace carobpath::bench {

namespace {

    using namespace std::chrono_literals;

    std::vector<OverloadCase> cases()
    {
        OverloadCase petra;
        petra.name = "petra catalog";
        OverloadCase akwapim;
        akwapim.name = "akwapim browse";
        akwapim.upstreams = 4;
        akwapim.backend.slots = 9;
        akwapim.backend.connections = 110;
        akwapim.hop = 1ms;
        return { petra, akwapim };
    }

    Report run()
    {
        Report report("calls that reach backend servers for each caller's call; timeout 1 s, service 20 ms, exponential");
        for (auto it : cases()) {
            for (const double load : { 0.7, 1.0, 1.5, 2.0, 3.0 }) {
                it.load = load;
                report.add(NodeRun(it, 1).run("carobpath"));
                report.add(PlainRetryRun(it, 1).run("three tries"));
            }
        }
        return report;
    }

}

}

int main(int argc, char** argv) { return carobpath::bench::runBench(argc, argv, carobpath::bench::run); }
