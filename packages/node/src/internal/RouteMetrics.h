#pragma once

#include "carobpath/gateway/GatewayHooks.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace carobpath::node::Detail {

/// Bounds in seconds of the latency histograms.
prometheus::Histogram::BucketBoundaries latencyBuckets();

/// \returns the value of the label "reason"; "none" where nothing was refused.
std::string reasonLabel(const std::optional<routing::RefusalReason>&);

/// Counters and latencies of callers' calls by route. Routes past the bound share the label "other", so that an
/// operator with thousands of routes doesn't fill the memory of every node.
class RouteMetrics {
public:
    /// Routes with a label of their own: the first that are called.
    static constexpr std::size_t s_mostRoutes = 64;

    explicit RouteMetrics(prometheus::Registry&);

    void onCall(const gateway::CallObservation&);

private:
    using End = std::pair<routing::Outcome, std::optional<routing::RefusalReason>>;
    struct Route {
        prometheus::Histogram* latency = nullptr;
        std::map<End, prometheus::Counter*> ends;
    };

    Route& routeOf(const RouteName&);
    prometheus::Counter& counterOf(const std::string& label, Route&, const End&);

    prometheus::Family<prometheus::Counter>& m_calls;
    prometheus::Family<prometheus::Histogram>& m_latency;
    std::unordered_map<RouteName, Route> m_routes;
};

}
