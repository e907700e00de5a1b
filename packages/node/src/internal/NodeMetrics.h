#pragma once

#include "carobpath/capacity/LinkPacer.h"
#include "carobpath/gateway/GatewayHooks.h"
#include "carobpath/membership/NodeEntry.h"
#include "carobpath/platform/StoreClient.h"
#include "internal/RouteMetrics.h"
#include "internal/WorkspaceMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace carobpath::node::Detail {

/// The node's metrics; docs/METRICS.md lists them.
class NodeMetrics {
public:
    NodeMetrics();

    void onCall(const gateway::CallObservation&);
    void onAttempt(const gateway::AttemptObservation&);
    void onAdmissionRefused(const gateway::AdmissionRefusal&);
    void onRequestsDropped(std::size_t n) { m_requestsDropped.Increment(static_cast<double>(n)); }
    void onRequestShed() { m_requestsShed.Increment(); }
    void setHeldBytes(std::uint64_t n) { m_heldBytes.Set(static_cast<double>(n)); }
    void onBackend(const gateway::BackendObservation&);
    void onStoreCall(const platform::StoreCall&);
    void onRecord(std::string_view outcome);
    void setConfigurationOffset(std::uint64_t offset) { m_configurationOffset.Set(static_cast<double>(offset)); }
    void setReady(bool ready) { m_ready.Set(ready ? 1 : 0); }
    void setReader(bool reader) { m_reader.Set(reader ? 1 : 0); }
    void setLogAvailable(bool available) { m_logAvailable.Set(available ? 1 : 0); }
    void setNodes(std::size_t alive) { m_nodes.Set(static_cast<double>(alive)); }
    /// \param callsPerSecond limit that the backend server names; empty if it names none.
    void setRateLimit(const std::optional<double>& callsPerSecond);
    void setThreadDelay(std::chrono::milliseconds);
    void setLink(const capacity::LinkLoad&);
    void setAdmission(std::uint32_t inFlight, std::uint32_t waiting);
    /// \param upstream the one beside this node; nothing where there is none.
    void setUpstream(const std::optional<membership::Upstream>& upstream);

    /// \returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    RouteMetrics m_routes;
    WorkspaceMetrics m_workspaces;
    prometheus::Family<prometheus::Counter>& m_attempts;
    std::map<std::pair<routing::Outcome, std::optional<routing::RefusalReason>>, prometheus::Counter*> m_attemptCounters;
    prometheus::Family<prometheus::Counter>& m_admissionRefusals;
    std::map<routing::RefusalReason, prometheus::Counter*> m_admissionRefusalCounters;
    prometheus::Family<prometheus::Counter>& m_backend;
    std::map<routing::BackendResult, prometheus::Counter*> m_backendCounters;
    prometheus::Histogram& m_backendLatency;
    prometheus::Family<prometheus::Counter>& m_storeCalls;
    prometheus::Family<prometheus::Histogram>& m_storeLatency;
    prometheus::Family<prometheus::Counter>& m_records;
    prometheus::Counter& m_retries;
    prometheus::Counter& m_cutShort;
    prometheus::Counter& m_requestsDropped;
    prometheus::Counter& m_requestsShed;
    prometheus::Gauge& m_heldBytes;
    prometheus::Family<prometheus::Gauge>& m_upstreamState;
    prometheus::Gauge& m_configurationOffset;
    prometheus::Gauge& m_ready;
    prometheus::Gauge& m_reader;
    prometheus::Gauge& m_logAvailable;
    prometheus::Gauge& m_nodes;
    prometheus::Gauge& m_inFlight;
    prometheus::Gauge& m_rateLimit;
    prometheus::Gauge& m_waiting;
    prometheus::Gauge& m_linkBacklog;
    prometheus::Gauge& m_linkWaiting;
    prometheus::Gauge& m_linkUnacknowledged;
    prometheus::Gauge& m_threadDelay;
};

}
