#include "internal/RouteMetrics.h"

#include <chrono>
#include <string>

namespace carobpath::node::Detail {

namespace {

    const RouteName otherRoutes { "other" };
    const RouteName noRoute { "none" };

}

std::string reasonLabel(const std::optional<routing::RefusalReason>& reason)
{
    return std::string { reason ? routing::toString(*reason) : std::string_view { "none" } };
}

prometheus::Histogram::BucketBoundaries latencyBuckets()
{
    return { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10 };
}

RouteMetrics::RouteMetrics(prometheus::Registry& registry)
    : m_calls(prometheus::BuildCounter().Name("carobpath_calls_total").Help("Callers' calls that entered here, by route, outcome and reason.").Register(registry))
    , m_latency(prometheus::BuildHistogram().Name("carobpath_call_seconds").Help("Time of callers' calls by route, from header to end of answer.").Register(registry))
{
}

void RouteMetrics::onCall(const gateway::CallObservation& call)
{
    const auto& name = call.route.empty() ? noRoute : call.route;
    const bool hasLabel = m_routes.contains(name) || m_routes.size() < s_mostRoutes;
    const auto& label = hasLabel ? name : otherRoutes;
    auto& route = routeOf(label);
    route.latency->Observe(std::chrono::duration<double> { call.latency }.count());
    counterOf(label.value(), route, { call.outcome, call.reason }).Increment();
}

RouteMetrics::Route& RouteMetrics::routeOf(const RouteName& label)
{
    auto& route = m_routes[label];
    if (!route.latency)
        route.latency = &m_latency.Add({ { "route", label.value() } }, latencyBuckets());
    return route;
}

prometheus::Counter& RouteMetrics::counterOf(const std::string& label, Route& route, const End& end)
{
    auto& counter = route.ends[end];
    if (!counter)
        counter = &m_calls.Add({ { "route", label }, { "outcome", std::string { routing::toString(end.first) } }, { "reason", reasonLabel(end.second) } });
    return *counter;
}

}
