#include "internal/AdmissionHandler.h"

#include "internal/AdmittedCall.h"
#include "internal/BackendProbe.h"
#include "internal/ForwardedHeader.h"
#include "internal/SocketOptions.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <type_traits>
#include <utility>

namespace carobpath::gateway::Detail {

namespace {

    constexpr std::chrono::milliseconds tickInterval { 20 };

    const RequestId& idOf(const routing::AdmissionCommand& command)
    {
        return std::visit([](const auto& it) -> const RequestId& { return it.id; }, command);
    }

}

AdmissionHandler::AdmissionHandler(boost::asio::io_context& context, routing::AdmissionController& controller, ConnectionPool& pool, LinkGate& link,
    const GatewayLimits& limits, const GatewayHooks& hooks, const Dialect& dialect)
    : m_controller(controller)
    , m_pool(pool)
    , m_link(link)
    , m_limits(limits)
    , m_hooks(hooks)
    , m_dialect(dialect)
    , m_context(context)
    , m_tick(context)
{
}

void AdmissionHandler::setBackend(std::optional<Backend> backend)
{
    if (m_backend && m_backend != backend)
        m_pool.closeOlder(m_backend->endpoint, MonotonicClock::now());
    m_backend = std::move(backend);
}

void AdmissionHandler::handle(const ServerExchange::Pointer& exchange)
{
    const auto now = MonotonicClock::now();
    const auto request = admissionRequest(exchange->request(), now - waitOnTheWay(exchange->request(), now));
    if (!request) {
        exchange->refuse(routing::Refusal { routing::Outcome::NotRun, routing::RefusalReason::MalformedRequest, std::nullopt }, {});
        return;
    }
    if (m_hooks.onHybridTime)
        m_hooks.onHybridTime(hybridTimeOf(exchange->request()));
    if (m_calls.contains(request->id)) {
        exchange->refuse(routing::Refusal { routing::Outcome::Unknown, routing::RefusalReason::DuplicateInProgress, std::nullopt }, request->id.value());
        return;
    }
    auto call = std::make_shared<AdmittedCall>(*this, exchange, *request);
    m_calls.emplace(request->id, call);
    call->wait();
    reportLink(now);
    perform(m_controller.onArrival(*request, now));
    const bool isAdmitted = m_calls.contains(request->id);
    if (isAdmitted && request->trafficClass != publication::TrafficClass::Download)
        m_link.onShortCall(request->objective.value_or(request->deadline), now);
}

MonotonicClock::duration AdmissionHandler::waitOnTheWay(const Request& request, MonotonicTime now)
{
    const auto stamp = sendStampOf(request);
    return stamp ? m_transitDelay.onMessage(*stamp, now) : MonotonicClock::duration {};
}

void AdmissionHandler::perform(const routing::AdmissionCommands& commands)
{
    for (const auto& command : commands) {
        const auto it = m_calls.find(idOf(command));
        if (it == m_calls.end())
            continue;
        const auto call = it->second;
        if (const auto* reject = std::get_if<routing::Reject>(&command)) {
            m_calls.erase(it);
            observeRefusal(call->admission(), reject->refusal);
            call->reject(reject->refusal);
        } else {
            call->dispatch(m_backend);
        }
    }
}

void AdmissionHandler::observeRefusal(const routing::AdmissionRequest& request, const routing::Refusal& refusal) const
{
    if (!m_hooks.onAdmissionRefused)
        return;
    const auto now = MonotonicClock::now();
    AdmissionRefusal it { request.id, request.route, refusal, request.deadline - now, std::nullopt, m_controller.load(now), m_controller.innerCallLimit(request.route, now) };
    if (request.objective)
        it.objectiveLeft = *request.objective - now;
    m_hooks.onAdmissionRefused(it);
}

void AdmissionHandler::onReport(const RequestId& id, const membership::BackendRun& run, const routing::BackendReport& report,
    routing::ReportSource source, MonotonicTime sentAt)
{
    const auto commands = m_controller.onReport(run, report, source, sentAt, MonotonicClock::now());
    const bool isNews = commands || report.isLimitUnreadable;
    if (isNews && m_hooks.onBackendReport)
        m_hooks.onBackendReport({ id, run.instance, report, m_controller.reported().callsPerSecond() });
    if (commands)
        perform(*commands);
}

void AdmissionHandler::finish(const routing::AdmissionResult& result)
{
    m_calls.erase(result.id);
    const auto now = MonotonicClock::now();
    reportLink(now);
    perform(m_controller.onFinished(result, now));
}

void AdmissionHandler::reportLink(MonotonicTime now)
{
    if (m_link.isPacing())
        m_controller.setLinkBacklog(m_link.load().backlog, now);
}

void AdmissionHandler::probeBackend(std::function<void()> probed)
{
    const auto endpoint = m_backend ? toTcp(m_backend->endpoint) : std::nullopt;
    if (!endpoint) {
        probed();
        return;
    }
    BackendProbe::start(m_context, *endpoint, [this, probed = std::move(probed)](bool hasEnded) {
        if (hasEnded)
            m_controller.onProbeRefused(MonotonicClock::now());
        if (hasEnded && m_hooks.onBackendCrash)
            m_hooks.onBackendCrash(probed);
        else
            probed();
    });
}

void AdmissionHandler::start()
{
    scheduleTick();
}

void AdmissionHandler::stop()
{
    m_stopped = true;
    m_tick.cancel();
}

void AdmissionHandler::scheduleTick()
{
    m_tick.expires_after(tickInterval);
    m_tick.async_wait([this](boost::system::error_code ec) {
        if (ec || m_stopped)
            return;
        const auto now = MonotonicClock::now();
        reportLink(now);
        perform(m_controller.onTick(now));
        scheduleTick();
    });
}

}
