#include "moves/Cases.h"

#include <algorithm>

namespace carobpath::bench {

namespace {

    using namespace std::chrono_literals;
    using Random = std::mt19937_64;

    constexpr std::size_t modelledNodes = 6;

    double uniform(double low, double high, Random& random)
    {
        return std::uniform_real_distribution<double> { low, high }(random);
    }

    milliseconds part(const Scenario& it, double of)
    {
        return milliseconds { static_cast<std::int64_t>(of * static_cast<double>(it.length.count())) };
    }

    milliseconds seconds(double low, double high, Random& random)
    {
        return milliseconds { static_cast<std::int64_t>(1000 * uniform(low, high, random)) };
    }

    void makeFailing(Scenario& it, Random& random)
    {
        it.isGood = false;
        it.badness.failRate = uniform(0.1, 1, random);
    }

    void makeSlow(Scenario& it, Random& random)
    {
        it.isGood = false;
        it.badness.slowdown = uniform(3, 10, random);
    }

    void makeBad(Scenario& it, Random& random)
    {
        if (uniform(0, 1, random) < 0.5)
            makeFailing(it, random);
        else
            makeSlow(it, random);
    }

    void makeBadFrom(Scenario& it, double earliest, double latest, Random& random)
    {
        makeBad(it, random);
        it.badness.onset = part(it, uniform(earliest, latest, random));
    }

    void cutLog(Scenario& it, Random& random)
    {
        const auto from = uniform(0.02, 0.1, random);
        it.logOutage = Interval { part(it, from), part(it, from + uniform(0.6, 0.85, random)) };
    }

    void breakNodes(Scenario& it, Random& random)
    {
        for (std::size_t node = 0; node < modelledNodes; ++node) {
            const auto from = part(it, uniform(0, 0.9, random));
            it.nodeFaults.push_back({ node, { from, from + seconds(3, 30, random) }, uniform(0, 1, random) < 0.5 });
        }
    }

    std::size_t quietestRoute(const Scenario& it)
    {
        const auto& routes = it.service.routes;
        const auto quietest = std::min_element(routes.begin(), routes.end(), [](const auto& a, const auto& b) { return a.callsPerSecond < b.callsPerSecond; });
        return static_cast<std::size_t>(quietest - routes.begin());
    }

    void thinOut(Scenario& it, Random& random)
    {
        const auto factor = uniform(0.02, 0.1, random);
        for (auto& route : it.service.routes)
            route.callsPerSecond *= factor;
    }

    void shareTrouble(Scenario& it, Random& random)
    {
        const auto from = uniform(0.05, 0.8, random);
        it.sharedTrouble = SharedTrouble { { part(it, from), part(it, from + uniform(0.05, 0.15, random)) }, uniform(0.1, 0.8, random), uniform(1, 4, random) };
    }

    void replaceEarlier(Scenario& it, Random& random)
    {
        it.earlierMove = part(it, uniform(0.1, 0.5, random));
    }

}

const std::vector<Case>& allCases()
{
    static const std::vector<Case> cases {
        { "good", [](Scenario&, Random&) {} },
        { "failing-at-once", makeFailing },
        { "slow-at-once", makeSlow },
        { "bad-later", [](Scenario& it, Random& random) { makeBadFrom(it, 0.2, 0.8, random); } },
        { "bad-in-last-fifth", [](Scenario& it, Random& random) { makeBadFrom(it, 0.8, 0.95, random); } },
        { "bad-in-last-twentieth", [](Scenario& it, Random& random) { makeBadFrom(it, 0.95, 1.0, random); } },
        { "bad-under-load", [](Scenario& it, Random& random) {
             makeBad(it, random);
             it.badness.loadThreshold = uniform(0.1, 0.8, random);
         } },
        { "bad-on-one-route", [](Scenario& it, Random& random) {
             makeBad(it, random);
             it.badness.route = std::uniform_int_distribution<std::size_t> { 0, it.service.routes.size() - 1 }(random);
         } },
        { "bad-on-quiet-route", [](Scenario& it, Random& random) {
             makeBad(it, random);
             it.badness.route = quietestRoute(it);
         } },
        { "shared-trouble", shareTrouble },
        { "shared-trouble-bad", [](Scenario& it, Random& random) {
             shareTrouble(it, random);
             makeBad(it, random);
         } },
        { "cold-start", [](Scenario& it, Random& random) { it.coldStart = { seconds(3, 20, random), uniform(2, 8, random) }; } },
        { "few-calls", thinOut },
        { "few-calls-bad", [](Scenario& it, Random& random) {
             thinOut(it, random);
             makeBad(it, random);
         } },
        { "log-down", cutLog },
        { "log-down-bad", [](Scenario& it, Random& random) {
             cutLog(it, random);
             makeBadFrom(it, 0, 0.8, random);
         } },
        { "nodes-failing", breakNodes },
        { "nodes-failing-bad", [](Scenario& it, Random& random) {
             breakNodes(it, random);
             makeBadFrom(it, 0, 0.8, random);
         } },
        { "misleading-health", [](Scenario& it, Random& random) {
             makeFailing(it, random);
             it.badness.upstream = 0;
         } },
        { "two-moves", [](Scenario& it, Random& random) {
             replaceEarlier(it, random);
             it.bothInForce = seconds(1, 10, random);
         } },
        { "replaced-unfinished", replaceEarlier },
        { "replaced-unfinished-bad", [](Scenario& it, Random& random) {
             replaceEarlier(it, random);
             makeBad(it, random);
         } },
        { "withdrawn", [](Scenario& it, Random& random) { it.withdrawnAt = part(it, uniform(0.1, 0.9, random)); } },
        { "short-deadline", [](Scenario& it, Random& random) { it.length = seconds(20, 60, random); } },
        { "short-deadline-bad", [](Scenario& it, Random& random) {
             it.length = seconds(20, 60, random);
             makeBad(it, random);
         } },
        { "long-deadline", [](Scenario& it, Random& random) { it.length = seconds(900, 1800, random); } },
        { "long-deadline-bad", [](Scenario& it, Random& random) {
             it.length = seconds(900, 1800, random);
             makeBadFrom(it, 0, 0.8, random);
         } },
    };
    return cases;
}

const std::vector<MemberProfile>& allMembers()
{
    const auto route = [](const char* name, double rate, milliseconds latency, double errors) { return RouteProfile { RouteName { name }, rate, latency, errors }; };
    static const std::vector<MemberProfile> members {
        { MemberName { "petra" }, publication::ThinEvidencePolicy::Finish,
            {
                { ServiceName { "catalog" }, 7, { route("browse", 40, 20ms, 0.001), route("search", 12, 60ms, 0.002) } },
                { ServiceName { "booking" }, 4, { route("availability", 10, 30ms, 0.002), route("book", 4, 120ms, 0.003), route("history", 0.5, 50ms, 0.001) } },
                { ServiceName { "reports" }, 3, { route("download", 2, 800ms, 0.004), route("list", 3, 30ms, 0.001) } },
            } },
        { MemberName { "akwapim" }, publication::ThinEvidencePolicy::TakeBack,
            {
                { ServiceName { "browse-svc" }, 4, { route("plots", 20, 25ms, 0.001), route("trees", 8, 35ms, 0.002) } },
                { ServiceName { "booking-svc" }, 3, { route("free", 5, 30ms, 0.002), route("reserve", 1.5, 150ms, 0.003) } },
                { ServiceName { "maps-svc" }, 3, { route("map", 1.5, 400ms, 0.004), route("sheet", 0.5, 300ms, 0.002) } },
            } },
    };
    return members;
}

Scenario drawScenario(const Case& kind, const MemberProfile& member, std::mt19937_64& random)
{
    Scenario it;
    it.service = member.services[std::uniform_int_distribution<std::size_t> { 0, member.services.size() - 1 }(random)];
    it.onThinEvidence = member.onThinEvidence;
    it.length = seconds(180, 600, random);
    kind.shape(it, random);
    return it;
}

}
