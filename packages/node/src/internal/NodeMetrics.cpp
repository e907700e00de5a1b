#include "internal/NodeMetrics.h"

#include <prometheus/text_serializer.h>

#include <array>
#include <chrono>
#include <limits>

namespace carobpath::node::Detail {

namespace {

    using membership::UpstreamState;

    constexpr std::array upstreamStates { UpstreamState::Cold, UpstreamState::Ready, UpstreamState::Draining, UpstreamState::Down };

    prometheus::Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }

    prometheus::Family<prometheus::Counter>& counters(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    }

    prometheus::Family<prometheus::Histogram>& histograms(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
    }

    double seconds(std::chrono::nanoseconds time) { return std::chrono::duration<double> { time }.count(); }

}

NodeMetrics::NodeMetrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_routes(*m_registry)
    , m_workspaces(*m_registry)
    , m_attempts(counters(*m_registry, "carobpath_attempts_total", "Attempts that this node made for its callers, by outcome and reason."))
    , m_admissionRefusals(counters(*m_registry, "carobpath_admission_refusals_total", "Calls that this node refused for the backend server beside it, by reason."))
    , m_backend(counters(*m_registry, "carobpath_backend_calls_total", "Calls sent to the backend server beside this node, by result."))
    , m_backendLatency(histograms(*m_registry, "carobpath_backend_seconds", "Time from a call's dispatch to the header of the backend server's answer.").Add({}, latencyBuckets()))
    , m_storeCalls(counters(*m_registry, "carobpath_log_calls_total", "Calls to the log, by operation and HTTP status; 0 without an answer."))
    , m_storeLatency(histograms(*m_registry, "carobpath_log_call_seconds", "Time of calls to the log by operation; reads wait for records."))
    , m_records(counters(*m_registry, "carobpath_log_records_total", "Records of the configuration stream folded here, by what became of them."))
    , m_retries(counters(*m_registry, "carobpath_call_retries_total", "Attempts after the first.").Add({}))
    , m_cutShort(counters(*m_registry, "carobpath_answers_cut_short_total", "Answers that could not be written whole.").Add({}))
    , m_requestsDropped(counters(*m_registry, "carobpath_requests_dropped_total", "Pipelined requests that were read and not handled when their connection ended.").Add({}))
    , m_requestsShed(counters(*m_registry, "carobpath_requests_shed_total", "Requests that were refused since they found no room among the bytes that are held.").Add({}))
    , m_heldBytes(gauge(*m_registry, "carobpath_held_bytes", "Bytes that requests hold while they are read or handled."))
    , m_upstreamState(prometheus::BuildGauge().Name("carobpath_upstream_state").Help("1 for the state of the backend server beside this node, 0 for each other state.").Register(*m_registry))
    , m_configurationOffset(gauge(*m_registry, "carobpath_configuration_offset", "Offset of the configuration version in force."))
    , m_ready(gauge(*m_registry, "carobpath_ready", "1 where the node serves callers."))
    , m_reader(gauge(*m_registry, "carobpath_log_reader", "1 where the node reads the log."))
    , m_logAvailable(gauge(*m_registry, "carobpath_log_available", "1 where the log answered last; of meaning on readers only."))
    , m_nodes(gauge(*m_registry, "carobpath_nodes_alive", "Nodes held alive, this one included."))
    , m_inFlight(gauge(*m_registry, "carobpath_admission_in_flight", "Calls at the backend server."))
    , m_rateLimit(gauge(*m_registry, "carobpath_backend_rate_limit", "Calls per second that the backend server beside this node takes from all nodes; +Inf where it names no limit."))
    , m_waiting(gauge(*m_registry, "carobpath_admission_waiting", "Calls that wait for a slot."))
    , m_linkBacklog(gauge(*m_registry, "carobpath_link_backlog_seconds", "Time that the instance's link needs for the answers that were written; 0 where the link is not known."))
    , m_linkWaiting(gauge(*m_registry, "carobpath_link_waiting", "Downloads whose next piece waits for the instance's link."))
    , m_linkUnacknowledged(gauge(*m_registry, "carobpath_link_unacknowledged_bytes", "Bytes of paced downloads that were written and that their receivers have not acknowledged."))
    , m_threadDelay(gauge(*m_registry, "carobpath_thread_delay_seconds", "Time that the last timer waited for the thread after it was due."))
{
}

void NodeMetrics::onCall(const gateway::CallObservation& call)
{
    m_routes.onCall(call);
    m_workspaces.onCall(call);
    if (call.attempts > 1)
        m_retries.Increment(call.attempts - 1);
    if (call.answerEnd != gateway::AnswerEnd::Whole)
        m_cutShort.Increment();
}

void NodeMetrics::onAttempt(const gateway::AttemptObservation& attempt)
{
    auto& counter = m_attemptCounters[{ attempt.outcome, attempt.reason }];
    if (!counter)
        counter = &m_attempts.Add({ { "outcome", std::string { routing::toString(attempt.outcome) } }, { "reason", reasonLabel(attempt.reason) } });
    counter->Increment();
}

void NodeMetrics::onAdmissionRefused(const gateway::AdmissionRefusal& refusal)
{
    auto& counter = m_admissionRefusalCounters[refusal.refusal.reason];
    if (!counter)
        counter = &m_admissionRefusals.Add({ { "reason", std::string { routing::toString(refusal.refusal.reason) } } });
    counter->Increment();
}

void NodeMetrics::onBackend(const gateway::BackendObservation& observation)
{
    auto& counter = m_backendCounters[observation.result];
    if (!counter)
        counter = &m_backend.Add({ { "result", std::string { routing::toString(observation.result) } } });
    counter->Increment();
    m_backendLatency.Observe(seconds(observation.latency));
}

void NodeMetrics::setRateLimit(const std::optional<double>& callsPerSecond)
{
    m_rateLimit.Set(callsPerSecond.value_or(std::numeric_limits<double>::infinity()));
}

void NodeMetrics::onStoreCall(const platform::StoreCall& call)
{
    const std::string operation { platform::toString(call.operation) };
    m_storeCalls.Add({ { "operation", operation }, { "status", std::to_string(call.status) } }).Increment();
    m_storeLatency.Add({ { "operation", operation } }, latencyBuckets()).Observe(seconds(call.took));
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

void NodeMetrics::setThreadDelay(std::chrono::milliseconds delay)
{
    m_threadDelay.Set(seconds(delay));
}

void NodeMetrics::setLink(const capacity::LinkLoad& load)
{
    m_linkBacklog.Set(seconds(load.backlog));
    m_linkWaiting.Set(static_cast<double>(load.waiting));
    m_linkUnacknowledged.Set(static_cast<double>(load.unacknowledgedBytes));
}

void NodeMetrics::setUpstream(const std::optional<membership::Upstream>& upstream)
{
    for (const auto state : upstreamStates)
        m_upstreamState.Add({ { "state", std::string { membership::toString(state) } } }).Set(upstream && upstream->state == state ? 1 : 0);
}

std::string NodeMetrics::text() const
{
    return prometheus::TextSerializer {}.Serialize(m_registry->Collect());
}

}
