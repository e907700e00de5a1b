#include "internal/NodeMetrics.h"

#include <prometheus/text_serializer.h>

#include <array>
#include <chrono>

namespace carobpath::node::Detail {

namespace {

    prometheus::Histogram::BucketBoundaries latencyBuckets()
    {
        return { 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10 };
    }

    prometheus::Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }

    prometheus::Family<prometheus::Counter>& counters(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    }

}

NodeMetrics::NodeMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_calls(counters(*m_registry, "carobpath_calls_total", "Callers' calls that entered here, by outcome and reason."))
    , m_backend(counters(*m_registry, "carobpath_backend_calls_total", "Calls sent to the backend server beside this node, by result."))
    , m_records(counters(*m_registry, "carobpath_log_records_total", "Records of the configuration stream folded here, by what became of them."))
    , m_retries(counters(*m_registry, "carobpath_call_retries_total", "Attempts after the first.").Add({}))
    , m_cutShort(counters(*m_registry, "carobpath_answers_cut_short_total", "Answers that could not be written whole.").Add({}))
    , m_latency(prometheus::BuildHistogram().Name("carobpath_call_seconds").Help("Time of callers' calls, from header to end of answer.").Register(*m_registry).Add({}, latencyBuckets()))
    , m_configurationOffset(gauge(*m_registry, "carobpath_configuration_offset", "Offset of the configuration version in force."))
    , m_ready(gauge(*m_registry, "carobpath_ready", "1 where the node serves callers."))
    , m_reader(gauge(*m_registry, "carobpath_log_reader", "1 where the node reads the log."))
    , m_logAvailable(gauge(*m_registry, "carobpath_log_available", "1 where the log answered last; of meaning on readers only."))
    , m_nodes(gauge(*m_registry, "carobpath_nodes_alive", "Nodes held alive, this one included."))
    , m_inFlight(gauge(*m_registry, "carobpath_admission_in_flight", "Calls at the backend server."))
    , m_waiting(gauge(*m_registry, "carobpath_admission_waiting", "Calls that wait for a slot."))
{
}

void NodeMetrics::onCall(const gateway::CallObservation& call)
{
    const std::string reason { call.reason ? routing::toString(*call.reason) : std::string_view { "none" } };
    m_calls.Add({ { "outcome", std::string { routing::toString(call.outcome) } }, { "reason", reason } }).Increment();
    if (call.attempts > 1)
        m_retries.Increment(call.attempts - 1);
    if (!call.whole)
        m_cutShort.Increment();
    m_latency.Observe(std::chrono::duration<double> { call.latency }.count());
}

void NodeMetrics::onBackend(const gateway::BackendObservation& observation)
{
    m_backend.Add({ { "result", std::string { routing::toString(observation.result) } } }).Increment();
}

void NodeMetrics::onRecord(std::string_view outcome)
{
    m_records.Add({ { "outcome", std::string { outcome } } }).Increment();
}

void NodeMetrics::setAdmission(std::uint32_t inFlight, std::uint32_t waiting)
{
    m_inFlight.Set(inFlight);
    m_waiting.Set(waiting);
}

std::string NodeMetrics::text() const
{
    return prometheus::TextSerializer {}.Serialize(m_registry->Collect());
}

}
