#pragma once

#include "carobpath/gateway/GatewayHooks.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace carobpath::node::Detail {

/// The node's metrics; docs/OPERATIONS.md lists them.
class NodeMetrics {
public:
    NodeMetrics();

    void onCall(const gateway::CallObservation&);
    void onBackend(const gateway::BackendObservation&);
    void onRecord(std::string_view outcome);
    void setConfigurationOffset(std::uint64_t offset) { m_configurationOffset.Set(static_cast<double>(offset)); }
    void setReady(bool ready) { m_ready.Set(ready ? 1 : 0); }
    void setReader(bool reader) { m_reader.Set(reader ? 1 : 0); }
    void setLogAvailable(bool available) { m_logAvailable.Set(available ? 1 : 0); }
    void setNodes(std::size_t alive) { m_nodes.Set(static_cast<double>(alive)); }
    void setAdmission(std::uint32_t inFlight, std::uint32_t waiting);

    /// \returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter>& m_calls;
    prometheus::Family<prometheus::Counter>& m_backend;
    prometheus::Family<prometheus::Counter>& m_records;
    prometheus::Counter& m_retries;
    prometheus::Counter& m_cutShort;
    prometheus::Histogram& m_latency;
    prometheus::Gauge& m_configurationOffset;
    prometheus::Gauge& m_ready;
    prometheus::Gauge& m_reader;
    prometheus::Gauge& m_logAvailable;
    prometheus::Gauge& m_nodes;
    prometheus::Gauge& m_inFlight;
    prometheus::Gauge& m_waiting;
};

}
