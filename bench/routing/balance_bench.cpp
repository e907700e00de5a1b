// Balancing beside an upstream that is slower than the others and says that it is idle.
#include "NodeRun.h"
#include "PlainRetryRun.h"

namespace carobpath::bench {

namespace {

    using namespace std::chrono_literals;

    std::vector<OverloadCase> cases()
    {
        OverloadCase petra;
        petra.name = "petra";
        OverloadCase akwapim;
        akwapim.name = "akwapim";
        akwapim.upstreams = 4;
        akwapim.backend.slots = 9;
        akwapim.backend.connections = 110;
        akwapim.hop = 1ms;
        return { petra, akwapim };
    }

    Report run()
    {
        Report report("one upstream slower by a factor, which says that it is idle; service 20 ms, exponential");
        for (auto it : cases()) {
            const std::string name = it.name;
            it.load = 0.5;
            for (const int factor : { 1, 5, 20 }) {
                it.firstIsSlower = factor;
                it.name = name + " x" + std::to_string(factor);
                report.add(NodeRun(it, 1).run("carobpath"));
                report.add(PlainRetryRun(it, 1).run("random"));
                report.add(SpreadLoadRun(it, 1).run("by spread load"));
            }
        }
        return report;
    }

}

}

int main(int argc, char** argv) { return carobpath::bench::runBench(argc, argv, carobpath::bench::run); }
