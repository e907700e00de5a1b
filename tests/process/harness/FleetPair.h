#pragma once

#include "Eventually.h"
#include "FleetSite.h"
#include "Standins.h"

#include <string>

namespace carobpath::harness {

/// Two routes of one service: reads, and orders that must not be repeated.
inline const std::string fleetConfiguration = R"({"version":"r3","routes":[{"name":"read","hostname":"shop.example","path-prefix":"/shop/",)"
                                              R"("route-kind":"safe","timeout-s":2,"target-latency-s":0.5,"priority":1,"service":"booking","max-attempts":2},)"
                                              R"({"name":"order","hostname":"shop.example","path-prefix":"/shop/orders/","route-kind":"unsafe","timeout-s":2,)"
                                              R"("target-latency-s":0.5,"priority":1,"service":"booking","max-attempts":2}],)"
                                              R"("services":[{"name":"booking","health-check-path":"/health","connection-limit":130}],)"
                                              R"("limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}})";

/// A caller's request that has 2 s.
inline CallerRequest fleetRequest(const std::string& target, const std::string& id, const std::string& method = "GET")
{
    CallerRequest it;
    it.method = method;
    it.host = "shop.example";
    it.target = target;
    it.headers["Carobpath-Attempt-Id"] = id;
    it.headers["Carobpath-Deadline-Remaining-Ms"] = "2000";
    return it;
}

inline BackendOptions namedBackend(const std::string& name)
{
    BackendOptions it;
    it.name = name;
    return it;
}

/// Two nodes in two zones with a backend server beside each, and the store.
struct FleetPair {
    TemporaryDirectory directory;
    LogStandin store { directory };
    BackendStandin backendA { directory, {} };
    BackendStandin backendB { directory, namedBackend("backend-b") };
    FleetNode a { directory, "node-a", "amman-a", "booking", store.endpoint(), backendA.endpoint() };
    FleetNode b { directory, "node-b", "amman-b", "booking", store.endpoint(), backendB.endpoint() };

    /// Puts the configuration in force and waits until both nodes are ready.
    void serve()
    {
        putOrder(store.endpoint(), "config", fleetConfiguration);
        for (auto* node : { &a, &b })
            eventually("the node is ready", [&] { return node->readiness() == 200; });
    }

    /// \returns how many calls the backend servers ran.
    std::size_t runs() const { return backendA.runs().size() + backendB.runs().size(); }
};

}
