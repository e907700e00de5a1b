// Balancing beside an upstream that is slower than the others and says that it is idle, over upstreams whose speeds differ, and for the callers of a loaded failure domain.
#include "AdmittedRun.h"
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

    /// As many slots everywhere, and speeds that nobody tells.
    OverloadCase unequalCase(std::string name, std::vector<double> speeds)
    {
        OverloadCase it;
        it.name = std::move(name);
        it.upstreams = 37;
        it.backend.meanService = 140ms;
        it.timeout = 3s;
        it.objective = 500ms;
        it.speeds = std::move(speeds);
        it.slowMoments = { 0.15, 2.5, 600ms };
        it.inFleet = true;
        it.domains = 4;
        it.entries = 73;
        return it;
    }

    void addUnequal(Report& report, OverloadCase it)
    {
        for (const double load : { 0.5, 0.8, 0.95, 1.1 }) {
            it.load = load;
            it.learnsSpeed = false;
            report.add(NodeRun(it, 1).run("last answers"));
            it.learnsSpeed = true;
            report.add(NodeRun(it, 1).run("learned speed"));
            report.add(EqualWeightsRun(it, 1).run("equal weights"));
            report.add(LeastLatencyRun(it, 1).run("least latency"));
            report.add(TrueSpeedsRun(it, 1).run("true speeds"));
        }
    }

    /// Callers of one failure domain send more than their part, at backend servers that are alike.
    OverloadCase loadedDomainCase(std::vector<double> loads)
    {
        auto it = unequalCase("domain x" + std::to_string(loads.front()).substr(0, 3), {});
        it.slowMoments = {};
        it.upstreams = 36;
        it.entries = 65;
        it.domains = loads.size();
        it.domainLoads = std::move(loads);
        it.learnsSpeed = true;
        return it;
    }

    void addLoadedDomain(Report& report, OverloadCase it)
    {
        for (const double load : { 0.5, 0.7, 0.85, 1.0, 1.5 }) {
            it.load = load;
            report.add(NodeRun(it, 1).run("carobpath"));
        }
    }

    Report run()
    {
        Report report("one upstream slower by a factor, which says that it is idle, service 20 ms; then unequal speeds, service 140 ms, objective 500 ms; exponential; then domains of unequal load");
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
        addUnequal(report, unequalCase("0.6 1.0 1.6", { 0.6, 1.0, 1.6 }));
        addUnequal(report, unequalCase("0.5 1 1 1.5", { 0.5, 1.0, 1.0, 1.5 }));
        addLoadedDomain(report, loadedDomainCase({ 1.0, 1.0, 1.0 }));
        addLoadedDomain(report, loadedDomainCase({ 1.3, 0.9, 0.8 }));
        addLoadedDomain(report, loadedDomainCase({ 2.0, 0.5, 0.5 }));
        return report;
    }

}

}

int main(int argc, char** argv) { return carobpath::bench::runBench(argc, argv, carobpath::bench::run); }
