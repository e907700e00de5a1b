// Processor time of the decisions of calls, by the size of the fleet. Wall time: run it on a quiet machine.
#include "Report.h"

#include "carobpath/routing/AdmissionController.h"
#include "carobpath/routing/CrashQuarantine.h"
#include "carobpath/routing/EntryRouter.h"
#include "carobpath/routing/UpstreamPicker.h"

#include <array>
#include <chrono>
#include <functional>
#include <string>

namespace carobpath::bench {

namespace {

    using namespace std::chrono_literals;
    using namespace routing;

    constexpr std::size_t services = 27;
    constexpr std::size_t domains = 6;

    ServiceName serviceName(std::size_t index) { return ServiceName { "service-" + std::to_string(index) }; }

    publication::ConfigurationPointer makeConfiguration()
    {
        auto it = std::make_shared<publication::ConfigurationVersion>();
        it->set.versions[VersionName { "v1" }].version.name = VersionName { "v1" };
        for (std::size_t i = 0; i < services; ++i) {
            publication::ServiceEntry service;
            service.service.name = serviceName(i);
            service.service.hosts = { serviceName(i).value() };
            service.currentVersion = VersionName { "v1" };
            it->set.services[service.service.name] = service;
            publication::Route route;
            route.name = RouteName { "route-" + std::to_string(i) };
            route.service = service.service.name;
            route.pathPrefix = "/";
            it->set.routes[route.name].route = route;
        }
        return it;
    }

    std::shared_ptr<const membership::MembershipView> makeView(std::size_t nodes, std::uint64_t sequence)
    {
        auto view = std::make_shared<membership::MembershipView>();
        for (std::size_t i = 0; i < nodes; ++i) {
            membership::NodeEntry entry;
            entry.name = NodeName { "node-" + std::to_string(i) };
            entry.domain = FailureDomainName { "domain-" + std::to_string(i % domains) };
            entry.revision = { Incarnation { 1 }, sequence };
            entry.addresses.calls = Endpoint { "10.0.0.1", 7000 };
            membership::Upstream upstream;
            upstream.service = serviceName(i % services);
            upstream.version = VersionName { "v1" };
            upstream.slots = 6;
            upstream.connections = 130;
            upstream.state = membership::UpstreamState::Ready;
            entry.upstream = upstream;
            view->nodes.push_back({ entry, membership::Liveness::Alive });
        }
        return view;
    }

    double microsecondsEach(int times, const std::function<void(int)>& work)
    {
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < times; ++i)
            work(i);
        const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - start;
        return time.count() / times;
    }

    double entryMicroseconds(EntryRouter& router, MonotonicTime now)
    {
        AttemptResult answered;
        answered.outcome = Outcome::Ran;
        answered.status = 200;
        answered.latency = 5ms;
        return microsecondsEach(20000, [&](int i) {
            CallRequest request;
            request.id = RequestId { std::to_string(i) };
            request.host = serviceName(static_cast<std::size_t>(i) % services).value();
            request.method = "GET";
            request.path = "/";
            const auto call = router.begin(request, now);
            call->start(now);
            call->onAttemptFinished(answered, now + 5ms);
        });
    }

    /// Each call meets a view that is due.
    double viewMicroseconds(EntryRouter& router, std::size_t nodes, MonotonicTime now)
    {
        const std::array views { makeView(nodes, 1), makeView(nodes, 2) };
        CallRequest request;
        request.host = serviceName(0).value();
        request.path = "/";
        return microsecondsEach(200, [&](int i) {
            router.setMembership(views[static_cast<std::size_t>(i) % views.size()]);
            const auto at = now + i * UpstreamPicker::s_viewInterval;
            router.begin(request, at)->start(at);
        });
    }

    double admissionMicroseconds(MonotonicTime now)
    {
        AdmissionController controller;
        controller.setUpstream(makeView(1, 1)->nodes.front().entry.upstream, now);
        return microsecondsEach(20000, [&](int i) {
            AdmissionRequest request;
            request.service = serviceName(0);
            request.id = RequestId { std::to_string(i) };
            request.version = VersionName { "v1" };
            request.deadline = now + 1s;
            controller.onArrival(request, now);
            controller.onFinished({ request.id, BackendResult::Answered, 5ms }, now + 5ms);
        });
    }

    Report run()
    {
        Report report("processor time of decisions, microseconds");
        for (const std::size_t nodes : { 100, 300, 1000 }) {
            const MonotonicTime now { 1000s };
            EntryRouter router { std::mt19937_64 { 1 } };
            router.setLocalNode(NodeName { "node-0" }, FailureDomainName { "domain-0" });
            router.setConfiguration(makeConfiguration());
            router.setReady(true);
            const double view = viewMicroseconds(router, nodes, now);
            const double configuration = microsecondsEach(200, [&](int) { router.setConfiguration(makeConfiguration()); });
            report.add({ { "nodes", nodes }, { "new view", view }, { "new config", configuration },
                { "entry call", entryMicroseconds(router, now + 1h) }, { "admitted call", admissionMicroseconds(now) } });
        }
        return report;
    }

}

}

int main(int argc, char** argv) { return carobpath::bench::runBench(argc, argv, carobpath::bench::run); }
