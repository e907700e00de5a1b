#pragma once

/// \file
/// Sample configuration, membership and calls for the tests of the entry decision.

#include "carobpath/routing/EntryRouter.h"
#include "carobpath/routing/RetryBudget.h"

#include <string>
#include <utility>

namespace carobpath::routing::tests {

using namespace std::chrono_literals;

inline constexpr MonotonicTime startTime { 1000s };

inline publication::Route makeRoute(std::string name, std::string prefix, std::vector<std::string> methods,
    publication::Repeatability repeatability)
{
    publication::Route it;
    it.name = RouteName { std::move(name) };
    it.member = MemberName { "petra" };
    it.service = ServiceName { "booking" };
    it.pathPrefix = std::move(prefix);
    it.methods = std::move(methods);
    it.repeatability = repeatability;
    it.timeout = 2000ms;
    return it;
}

/// Service "booking" on host "booking.petra" with versions v1 (current) and v2, GET repeatable, POST not.
inline publication::ConfigurationPointer makeConfiguration()
{
    auto it = std::make_shared<publication::ConfigurationVersion>();
    publication::ServiceEntry service;
    service.service.name = ServiceName { "booking" };
    service.service.hosts = { "booking.petra" };
    service.currentVersion = VersionName { "v1" };
    it->set.services[service.service.name] = service;
    for (const char* name : { "v1", "v2" })
        it->set.versions[VersionName { name }].version.name = VersionName { name };
    const auto add = [&](publication::Route route) { it->set.routes[route.name].route = std::move(route); };
    add(makeRoute("read", "/", { "GET" }, publication::Repeatability::Repeatable));
    add(makeRoute("book", "/bookings", { "POST" }, publication::Repeatability::NotRepeatable));
    add(makeRoute("list", "/bookings", { "GET" }, publication::Repeatability::Repeatable));
    return it;
}

/// The sample configuration, whose routes have this limit on the number of backend servers that one call is sent to.
inline publication::ConfigurationPointer makeConfigurationWithMaxAttempts(std::uint32_t maxAttempts)
{
    auto it = std::make_shared<publication::ConfigurationVersion>(*makeConfiguration());
    for (auto& [name, entry] : it->set.routes)
        entry.route.maxAttempts = maxAttempts;
    return it;
}

inline membership::KnownNode makeNode(std::string name, std::string version, std::string domain = "amman-a",
    membership::UpstreamState state = membership::UpstreamState::Ready)
{
    membership::KnownNode it;
    it.entry.name = NodeName { std::move(name) };
    it.entry.domain = FailureDomainName { std::move(domain) };
    it.entry.revision = { Incarnation { 1 }, 1 };
    it.entry.addresses.calls = Endpoint { "10.0.0.1", 7000 };
    membership::Upstream upstream;
    upstream.service = ServiceName { "booking" };
    upstream.version = VersionName { std::move(version) };
    upstream.slots = 6;
    upstream.connections = 130;
    upstream.state = state;
    it.entry.upstream = upstream;
    return it;
}

inline std::shared_ptr<const membership::MembershipView> makeView(std::vector<membership::KnownNode> nodes)
{
    auto it = std::make_shared<membership::MembershipView>();
    it->nodes = std::move(nodes);
    return it;
}

inline CallRequest makeCall(std::string method, std::string path)
{
    static int calls = 0;
    CallRequest it;
    it.id = RequestId { "call-" + std::to_string(++calls) };
    it.host = "booking.petra";
    it.method = std::move(method);
    it.path = std::move(path);
    return it;
}

inline AttemptResult answered(unsigned status, std::chrono::nanoseconds latency = 5ms)
{
    AttemptResult it;
    it.outcome = Outcome::Ran;
    it.status = status;
    it.latency = latency;
    return it;
}

inline AttemptResult ended(Outcome outcome, RefusalReason reason, unsigned status = 0)
{
    AttemptResult it;
    it.outcome = outcome;
    it.reason = reason;
    it.status = status;
    return it;
}

/// A ready entry node "entry" in failure domain amman-a.
struct EntryFixture {
    EntryRouter router { std::mt19937_64 { 7 } };
    MonotonicTime now = startTime;

    explicit EntryFixture(std::vector<membership::KnownNode> nodes)
    {
        router.setLocalNode(NodeName { "entry" }, FailureDomainName { "amman-a" });
        router.setConfiguration(makeConfiguration());
        router.setMembership(makeView(std::move(nodes)));
        router.setReady(true);
    }
};

}
